#pragma once

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

/// Stand-ins for the review's scripts: callers and endpoints on plain blocking sockets, one thread a connection, and the start of the
/// project's own programs as separate processes.
namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int Held = 0; ///< exit code: the rule held
constexpr int Broken = 1; ///< exit code: the rule was broken
constexpr int CannotRun = 2; ///< exit code: the case could not run

/// Writes what was sent, answered and run, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file, std::ios::trunc)
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
        m_file << now << " ms  " << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

inline std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return it;
}

/// A TCP connection that is closed with its last owner.
class Socket
{
public:
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket()
    {
        close();
    }

    void close()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }

    void reset()
    {
        const linger it{1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &it, sizeof it);
        close();
    }

    /// Ends the connection while another thread may use it.
    void shutDown() const
    {
        ::shutdown(m_descriptor, SHUT_RDWR);
    }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto n = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// @return false at the end of the connection, after an error or after the timeout
    bool receive(std::string &buf, int timeoutMilliseconds) const
    {
        pollfd it{m_descriptor, POLLIN, 0};
        if (m_descriptor < 0 || poll(&it, 1, timeoutMilliseconds) != 1) {
            return false;
        }
        char bytes[65536];
        const auto n = recv(m_descriptor, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

private:
    int m_descriptor;
};

using SocketPointer = std::shared_ptr<Socket>;

/// @return null if nothing accepts the connection
inline SocketPointer connectTo(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        close(descriptor);
        return nullptr;
    }
    return std::make_shared<Socket>(descriptor);
}

/// The head of a request or response, with lower-case names of the fields.
struct Head
{
    std::string firstLine;
    std::map<std::string, std::string> fields;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }

    std::size_t length() const
    {
        const auto text = field("content-length");
        return text.empty() ? 0 : std::stoul(text);
    }

    std::string word(std::size_t n) const
    {
        std::string rest = firstLine;
        for (; n > 0 && rest.find(' ') != std::string::npos; --n) {
            rest = rest.substr(rest.find(' ') + 1);
        }
        return rest.substr(0, rest.find(' '));
    }
};

inline Head parseHead(std::string_view text)
{
    Head head;
    for (bool isFirst = true; !text.empty(); isFirst = false) {
        const auto end = text.find("\r\n");
        const auto line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 2);
        if (isFirst) {
            head.firstLine = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            continue;
        }
        std::string name(line.substr(0, colon));
        for (auto &it : name) {
            it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
        }
        auto value = line.substr(colon + 1);
        while (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        head.fields[name] = std::string(value);
    }
    return head;
}

/// Reads from a connection; keeps the bytes that follow what was read.
class Reader
{
public:
    explicit Reader(SocketPointer socket)
        : m_socket(std::move(socket))
    {
    }

    std::optional<Head> head(int timeoutMilliseconds)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!m_socket->receive(m_buffer, timeoutMilliseconds)) {
                return std::nullopt;
            }
        }
        const auto head = parseHead(std::string_view(m_buffer).substr(0, end));
        m_buffer.erase(0, end + 4);
        return head;
    }

    /// @return what arrived before the end of the connection or the timeout, at most the given number of bytes
    std::string bytes(std::size_t count, int timeoutMilliseconds)
    {
        while (m_buffer.size() < count && m_socket->receive(m_buffer, timeoutMilliseconds)) {
        }
        auto found = m_buffer.substr(0, count);
        m_buffer.erase(0, found.size());
        return found;
    }

    /// Reads chunks up to the last one.
    /// @return nothing if the connection ends before it
    std::optional<std::string> chunks(int timeoutMilliseconds)
    {
        std::string body;
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!m_socket->receive(m_buffer, timeoutMilliseconds)) {
                    return std::nullopt;
                }
            }
            const auto size = std::stoul("0" + m_buffer.substr(0, end), nullptr, 16);
            m_buffer.erase(0, end + 2);
            const auto chunk = bytes(size + 2, timeoutMilliseconds);
            if (chunk.size() < size + 2) {
                return std::nullopt;
            }
            if (size == 0) {
                return body;
            }
            body.append(chunk, 0, size);
        }
    }

private:
    SocketPointer m_socket;
    std::string m_buffer;
};

struct Response
{
    Head head;
    std::string body;
    bool isComplete = false;

    int status() const
    {
        const auto text = head.word(1);
        return std::atoi(text.c_str());
    }
};

inline Response readResponse(Reader &reader, int timeoutMilliseconds)
{
    Response response;
    const auto head = reader.head(timeoutMilliseconds);
    if (!head) {
        return response;
    }
    response.head = *head;
    if (head->field("transfer-encoding") == "chunked") {
        const auto body = reader.chunks(timeoutMilliseconds);
        response.isComplete = body.has_value();
        response.body = body.value_or("");
        return response;
    }
    response.body = reader.bytes(head->length(), timeoutMilliseconds);
    response.isComplete = response.body.size() == head->length();
    return response;
}

/// A caller's request with the headers that the platform's callers send.
inline std::string requestText(const std::string &method, const std::string &target, const std::string &id, const std::string &body,
                               int deadlineMilliseconds = 3000, const std::string &fields = "")
{
    return method + ' ' + target + " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMilliseconds) + "\r\n"
        + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends one request on a new connection.
inline Response call(int port, const std::string &text, int timeoutMilliseconds = 5000)
{
    const auto socket = connectTo(port);
    if (!socket || !socket->send(text)) {
        return {};
    }
    Reader reader(socket);
    return readResponse(reader, timeoutMilliseconds);
}

/// Accepts connections; the handler of each runs on a thread of its own until it returns.
class Server
{
public:
    using Handler = std::function<void(const SocketPointer &)>;

    /// @param receiveBufferBytes of the accepted connections; zero for the system's own choice
    Server(int port, Handler handler, int receiveBufferBytes = 0)
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (receiveBufferBytes > 0) {
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        }
        const auto to = loopback(port);
        m_isListening = bind(m_descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0 && listen(m_descriptor, 128) == 0;
        if (!m_isListening) {
            return;
        }
        std::thread([descriptor = m_descriptor, handler = std::move(handler)] {
            for (;;) {
                const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                const int noDelay = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
                std::thread([handler, socket = std::make_shared<Socket>(accepted)] { handler(socket); }).detach();
            }
        }).detach();
    }

    bool isListening() const
    {
        return m_isListening;
    }

private:
    int m_descriptor;
    bool m_isListening = false;
};

inline std::string encodeBase64(const std::string &text)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string buf;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            buf += n + k <= text.size() ? digits[(group >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return buf;
}

/// A small deployment: the metadata store, daemons and the endpoints' entries in the store.
class Site
{
public:
    /// @param programs folder of the stand-ins that review/build.sh has built
    /// @param work temporary folder for settings and logs
    Site(std::string programs, std::string work, int basePort)
        : m_programs(std::move(programs))
        , m_work(std::move(work))
        , m_basePort(basePort)
    {
        signal(SIGPIPE, SIG_IGN);
    }

    ~Site()
    {
        m_isEnding = true;
        if (m_heartbeats.joinable()) {
            m_heartbeats.join();
        }
        for (const auto &[name, pid] : m_processes) {
            kill(pid, SIGCONT);
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }

    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    int port(int offset) const
    {
        return m_basePort + offset;
    }
    int callerPort(int daemon) const
    {
        return port(20 + 5 * daemon);
    }

    bool startStore()
    {
        start("store", {m_programs + "/turmericplank-sitestore", "--listen", address(port(0))}, "");
        m_heartbeats = std::thread([this] { writeHeartbeats(); });
        return waitUntil(10000, [this] { return connectTo(port(0)) != nullptr; });
    }

    /// Starts a daemon with the command of the deploy file, or starts it again.
    /// @param bounds lines of the settings' table `bounds`
    void startDaemon(int number, const std::string &bounds = "graceS = 8\n", int storePort = 0)
    {
        const auto file = m_work + "/settings-" + std::to_string(number) + ".toml";
        std::ofstream(file) << "nodeName = \"entry-" << number << "\"\nip = \"127.0.0.1\"\nzone = \"z" << number
                            << "\"\nregion = \"r\"\nfirstStart = " << (m_startedBefore[number] ? "false" : "true") << "\n"
                            << "internalPorts = [" << callerPort(number) + 3 << ", " << callerPort(number) + 4 << "]\n[listen]\nfront = \""
                            << address(callerPort(number)) << "\"\nready = \"" << address(callerPort(number) + 1) << "\"\ndirectory = \""
                            << address(callerPort(number) + 2) << "\"\n[bounds]\n"
                            << bounds << "[platform]\naddress = \"" << address(storePort > 0 ? storePort : port(0)) << "\"\n";
        m_startedBefore[number] = true;
        start("entry-" + std::to_string(number), {"target/bin/turmericplankd", "--site", "platform"}, file);
    }

    bool isReady(int number) const
    {
        return call(callerPort(number) + 1, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000).status() == 200;
    }

    pid_t pid(const std::string &name) const
    {
        return m_processes.at(name);
    }

    /// Sends a signal; after SIGKILL, waits for the end of the process.
    void signalTo(const std::string &name, int number)
    {
        const auto it = m_processes.find(name);
        if (it == m_processes.end()) {
            return;
        }
        kill(it->second, number);
        if (number == SIGKILL) {
            waitpid(it->second, nullptr, 0);
            m_processes.erase(it);
        }
    }

    /// @return whether a process has ended by itself
    bool hasEnded(const std::string &name)
    {
        const auto it = m_processes.find(name);
        if (it == m_processes.end() || waitpid(it->second, nullptr, WNOHANG) == 0) {
            return it == m_processes.end();
        }
        m_processes.erase(it);
        return true;
    }

    void putConfiguration(int version, const Json &routes, const Json &services) const
    {
        const Json limits{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
        put("op", "config", Json{{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits}});
    }

    /// Adds or replaces an endpoint's entry, which is written again every second.
    void setEndpoint(const std::string &id, const std::string &service, int endpointPort, const Json &more = Json::object())
    {
        const auto born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        Json entry{
            {"service", service}, {"address", address(endpointPort)}, {"zone", "z1"}, {"version", "v1"}, {"slots", 16}, {"state", "ready"}, {"coldLeftMs", 0},
            {"born", born}};
        entry.update(more);
        {
            const std::lock_guard lock(m_mutex);
            m_entries[id] = entry;
        }
        writeEntries();
    }

    void removeEndpoint(const std::string &id)
    {
        const std::lock_guard writing(m_writing);
        {
            const std::lock_guard lock(m_mutex);
            m_entries.erase(id);
        }
        transact(Json{{"remove", {{{"table", "servers"}, {"part", ""}, {"key", id}}}}});
    }

    static bool waitUntil(int milliseconds, const std::function<bool()> &condition)
    {
        const auto end = Clock::now() + Milliseconds(milliseconds);
        while (!condition()) {
            if (Clock::now() >= end) {
                return false;
            }
            sleepFor(50);
        }
        return true;
    }

private:
    void start(const std::string &name, const std::vector<std::string> &command, const std::string &settings)
    {
        const auto log = m_work + '/' + name + ".log";
        const auto pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (!settings.empty()) {
                setenv("TURMERICPLANK_CONFIG", settings.c_str(), 1);
            }
            if (std::freopen(log.c_str(), "a", stdout) == nullptr || dup2(STDOUT_FILENO, STDERR_FILENO) < 0) {
                _exit(CannotRun);
            }
            std::vector<char *> arguments;
            for (const auto &it : command) {
                arguments.push_back(const_cast<char *>(it.c_str()));
            }
            arguments.push_back(nullptr);
            execv(arguments[0], arguments.data());
            _exit(CannotRun);
        }
        m_processes[name] = pid;
    }

    void transact(const Json &body) const
    {
        call(port(0),
             "POST /-/rows-tx HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.dump().size()) + "\r\n\r\n" + body.dump(),
             2000);
    }

    void put(const std::string &table, const std::string &key, const Json &value) const
    {
        transact(Json{{"writes", {{{"table", table}, {"part", ""}, {"key", key}, {"value", encodeBase64(value.dump())}}}}});
    }

    void writeEntries()
    {
        const std::lock_guard writing(m_writing);
        std::map<std::string, Json> entries;
        {
            const std::lock_guard lock(m_mutex);
            ++m_heartbeat;
            entries = m_entries;
        }
        for (auto &[id, entry] : entries) {
            entry["seq"] = m_heartbeat.load();
            put("servers", id, entry);
        }
    }

    void writeHeartbeats()
    {
        while (!m_isEnding) {
            writeEntries();
            for (int n = 0; n < 10 && !m_isEnding; ++n) {
                sleepFor(100);
            }
        }
    }

    std::string m_programs;
    std::string m_work;
    int m_basePort;
    std::map<std::string, pid_t> m_processes;
    std::map<int, bool> m_startedBefore; ///< by the daemon's number
    std::mutex m_writing; ///< entries are written and removed one call after the other
    std::mutex m_mutex;
    std::map<std::string, Json> m_entries;
    std::atomic<std::uint64_t> m_heartbeat{0};
    std::atomic<bool> m_isEnding{false};
    std::thread m_heartbeats;
};

/// Arguments that each case gets from its script.
struct Arguments
{
    std::string programs;
    std::string work;
    std::string recordFile;
    int basePort = 0;
    bool hasTrouble = true;
};

inline Arguments readArguments(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s PROGRAMS WORK RECORD BASE_PORT\n", argv[0]);
        std::exit(CannotRun);
    }
    const char *trouble = std::getenv("TROUBLE");
    return {argv[1], argv[2], argv[3], std::atoi(argv[4]), trouble == nullptr || std::string_view(trouble) != "0"};
}

} // namespace review

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nghttp2/nghttp2.h>

#include "turmericplank/base/time.hpp"

namespace turmericplank::peer {

/// @brief Events of a session; all run on the socket's executor.
struct Http2Hooks
{
    std::function<void(std::int32_t stream, std::string_view name, std::string_view value)> onHeader;
    std::function<void(std::int32_t stream, std::string_view piece)> onData;
    std::function<void(std::int32_t stream)> onRemoteEnd; ///< the other side has sent all of the stream
    std::function<void(std::int32_t stream, std::uint32_t errorCode)> onStreamClosed;
    std::function<void()> onClosed; ///< called once, after all streams were closed
};

/// @brief Limits of a session.
struct Http2Options
{
    bool isServer = false;
    base::Duration pingInterval = std::chrono::seconds(1); ///< without any byte received
    base::Duration pingTimeout = std::chrono::seconds(3); ///< without any byte received; closes the connection
};

using Http2Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief Drives one nghttp2 session from an Asio socket.
class Http2Session : public boost::intrusive_ref_counter<Http2Session, boost::thread_unsafe_counter>
{
public:
    /// @param socket connected socket
    /// @param options side and deadlines
    /// @param hooks events
    /// @param byteCounter counts the bytes of both directions; outlives the session
    Http2Session(boost::asio::ip::tcp::socket socket, Http2Options options, Http2Hooks hooks, std::uint64_t &byteCounter);
    ~Http2Session();

    /// @brief Sends the settings and starts reading.
    void start();
    /// @brief Opens a stream with a whole body.
    /// @return the stream, or nothing if the session takes no more
    std::int32_t openStream(const Http2Headers &headers, std::string body);
    /// @brief Starts the answer of a stream; its body follows by write() and end().
    void startAnswer(std::int32_t stream, const Http2Headers &headers);
    /// @brief Sends a piece of the stream's body.
    void write(std::int32_t stream, std::string piece);
    /// @brief Ends the stream's body.
    void end(std::int32_t stream);
    /// @brief Resets a stream.
    /// @param errorCode for example NGHTTP2_REFUSED_STREAM
    void reset(std::int32_t stream, std::uint32_t errorCode);
    /// @brief Refuses streams that are not yet seen and lets the others end.
    void beginShutdown();
    /// @brief Closes the connection; streams in progress are closed with an error.
    void close();
    /// @brief Whether new streams can be opened.
    bool isOpen() const;

private:
    struct Outgoing
    {
        std::string bytes;
        std::size_t sent = 0;
        bool hasEnded = false;
    };
    using Pointer = boost::intrusive_ptr<Http2Session>;

    static nghttp2_session_callbacks *callbacks();
    static ssize_t readOutgoing(nghttp2_session *session, std::int32_t stream, std::uint8_t *buf, std::size_t length, std::uint32_t *flags,
                                nghttp2_data_source *source, void *self);
    nghttp2_data_provider provider();
    void read();
    void flush();
    void flushSoon();
    void watch();
    void closeStreams();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_watchTimer;
    Http2Options m_options;
    Http2Hooks m_hooks;
    std::uint64_t &m_byteCounter;
    std::unique_ptr<nghttp2_session, decltype(&nghttp2_session_del)> m_session;
    std::map<std::int32_t, Outgoing> m_outgoing;
    std::vector<std::uint8_t> m_readBuffer;
    std::string m_writeBuffer;
    base::Time m_silenceDeadline;
    base::Time m_pingDue;
    bool m_isWriting = false;
    bool m_isFlushPosted = false;
    bool m_isClosed = false;
};

} // namespace turmericplank::peer

#include "turmericplank/daemon/operatorapi.hpp"

#include <boost/asio/post.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace turmericplank;
using namespace turmericplank::daemon;
using nlohmann::json;

namespace {

/// Table and object store of one process, answering at once.
struct MemoryStore
{
    store::Table table()
    {
        return {[this](const std::vector<store::RowWrite> &writes, const std::function<void(store::WriteResult)> &hook) { hook(write(writes)); },
                [this](const std::string &prefix, const std::function<void(store::ReadResult)> &hook) {
                    hook(read(prefix));
                }};
    }

    store::ObjectStore objectStore()
    {
        return {[this](const std::string &name, const std::string &bytes, const auto &hook) {
                    objects[name] = bytes;
                    hook({});
                },
                [this](const std::string &name, const auto &hook) {
                    const auto found = objects.find(name);
                    hook(found == objects.end() ? std::nullopt : std::optional(found->second));
                }};
    }

    store::WriteResult write(const std::vector<store::RowWrite> &writes)
    {
        for (const auto &it : writes) {
            if (it.expectedVersion && rows[it.key].version != *it.expectedVersion) {
                return tl::unexpected(store::TableError{store::TableFailure::Conflict, {}});
            }
        }
        std::vector<base::RowVersion> versions;
        for (const auto &it : writes) {
            version = version.next();
            rows[it.key] = {it.key, version, *it.value};
            versions.push_back(version);
        }
        return versions;
    }

    store::ReadResult read(const std::string &prefix) const
    {
        if (isDown) {
            return tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        std::vector<store::Row> found;
        for (const auto &[key, row] : rows) {
            if (key.starts_with(prefix) && row.version.value() > 0) {
                found.push_back(row);
            }
        }
        return found;
    }

    std::map<std::string, store::Row> rows;
    std::map<std::string, std::string> objects;
    base::RowVersion version;
    bool isDown = false;
};

class Exchange : public net::HttpExchange
{
public:
    explicit Exchange(net::HttpRequest httpRequest)
        : m_request(std::move(httpRequest))
    {
    }

    const net::HttpRequest &request() const override
    {
        return m_request;
    }
    void respond(net::HttpResponse httpResponse) override
    {
        response = std::move(httpResponse);
    }
    void startStream(int, net::Headers) override
    {
    }
    void writeChunk(std::string) override
    {
    }
    void endStream() override
    {
    }
    void abort() override
    {
    }
    std::size_t queuedBytes() const override
    {
        return 0;
    }
    void setOnClosed(std::function<void()>) override
    {
    }

    std::optional<net::HttpResponse> response;

private:
    net::HttpRequest m_request;
};

/// One daemon's configuration before a store that it may share with another.
struct Node
{
    Node(boost::asio::io_context &ioContext, MemoryStore &store, const std::string &name, std::uint16_t port, std::vector<PeerTarget> peers)
        : context(ioContext)
        , mesh(openMesh(name, port))
        , environment{context, settings, store.table(), store.objectStore(), {}, *mesh, callerRoutes, operatorRoutes, metrics, random, bytes}
        , shell(environment, {.peers = [peers] { return peers; }, .activation = {}})
        , api(environment, shell)
    {
    }

    std::unique_ptr<peer::Mesh> openMesh(const std::string &name, std::uint16_t port)
    {
        settings.id = base::DaemonId(name);
        settings.peerListen = {"127.0.0.1", port};
        peer::MeshOptions options;
        options.listen = {"127.0.0.1", port};
        options.self = settings.id;
        return peer::openMesh(context, options);
    }

    std::pair<int, json> call(const std::string &method, const std::string &target, net::Headers headers = {}, const std::string &body = {})
    {
        const boost::intrusive_ptr<Exchange> exchange(new Exchange({method, target, std::move(headers), body}));
        operatorRoutes.dispatch(exchange);
        REQUIRE(exchange->response);
        return {exchange->response->status, json::parse(exchange->response->body, nullptr, false)};
    }

    std::pair<int, json> edit(const std::string &section, int revision, const std::string &text)
    {
        return call("PUT", "/admin/sections/" + section, {{"If-Match", std::to_string(revision)}, {"X-Author", "team"}}, text);
    }

    std::pair<int, json> accept(const std::string &digest)
    {
        return call("POST", "/admin/accept", {}, json{{"digest", digest}}.dump());
    }

    boost::asio::io_context &context;
    Settings settings;
    Routes callerRoutes;
    Routes operatorRoutes;
    telemetry::Metrics metrics;
    std::mt19937_64 random{1};
    std::uint64_t bytes = 0;
    std::unique_ptr<peer::Mesh> mesh;
    Environment environment;
    ConfigurationShell shell;
    OperatorApi api;
};

const std::string models = "[models.m]\nversion = \"1\"\nmemory_mib = 10\n";
const std::string endpoints = "[endpoints.e]\naddress = \"10.0.0.1:80\"\nzone = \"r/a\"\nmemory_mib = 100\nchecks_fencing = true\n";

/// Runs until a condition holds, at most for ten seconds.
template<typename Condition>
bool runUntil(boost::asio::io_context &context, Condition condition)
{
    for (int n = 0; n < 1000 && !condition(); ++n) {
        context.restart();
        context.run_for(std::chrono::milliseconds(10));
    }
    return condition();
}

void submit(Node &node)
{
    CHECK(node.edit("site", 0, "[site]\nname = \"s\"\n").first == 200);
    CHECK(node.edit("models", 0, models).first == 200);
    CHECK(node.edit("endpoints", 0, endpoints).first == 200);
}

} // namespace

TEST_CASE("operators edit, see and accept; every way that it can fail has its own answer")
{
    boost::asio::io_context context;
    MemoryStore store;
    Node node(context, store, "d-1", 23011, {});
    CHECK(node.call("PUT", "/admin/sections/models", {}, models).first == 428);
    CHECK(node.edit("colours", 0, "").first == 404);
    const auto [status, mistakes] = node.edit("models", 0, "[models.m]\nversion = 1\n");
    CHECK(status == 400);
    CHECK(mistakes["mistakes"].size() == 2);
    submit(node);
    CHECK(node.edit("models", 0, "[models.m]\nversion = \"2\"\nmemory_mib = 10\n").first == 409);

    CHECK(node.edit("models", 1, "[models.m]\nversion = \"1\"\nmemory_mib = 1000\n").first == 200);
    const auto tooLarge = node.call("POST", "/admin/diff").second["digest"].get<std::string>();
    CHECK(node.accept(tooLarge).first == 422);
    CHECK(node.edit("models", 2, models).first == 200);
    CHECK(node.accept(tooLarge).first == 409);
    CHECK(node.call("POST", "/admin/accept", {}, "nonsense").first == 400);

    const auto digest = node.call("POST", "/admin/diff").second["digest"].get<std::string>();
    CHECK(node.accept(digest).first == 200);
    CHECK_FALSE(node.accept(digest).second["is_new"].get<bool>());
    CHECK(node.call("POST", "/admin/diff").second["difference"].empty());
    CHECK(node.call("GET", "/admin/document").second["sections"]["models"]["revision"] == 3);

    store.isDown = true;
    const auto [downStatus, down] = node.edit("models", 3, endpoints);
    CHECK(downStatus == 400);
    const auto [refused, body] = node.edit("models", 3, models);
    CHECK(refused == 503);
    CHECK(body["error"]["outcome"] == "not_run");
}

TEST_CASE("an accepted document is in force on both daemons, also on one that sees neither store nor list of daemons")
{
    boost::asio::io_context context;
    MemoryStore store;
    MemoryStore outage;
    outage.isDown = true;
    Node first(context, store, "d-1", 23012, {{base::DaemonId("d-2"), {"127.0.0.1", 23013}}});
    Node second(context, outage, "d-2", 23013, {}); // it knows no address before the first speaks to it
    int activations = 0;
    second.shell.onActivated([&activations](const configuration::ActiveConfiguration &) { activations += 1; });
    submit(first);
    CHECK(second.shell.refusal()->code == "not_configured");
    CHECK(first.accept(first.call("POST", "/admin/diff").second["digest"]).first == 200);
    REQUIRE(runUntil(context, [&] { return second.shell.inForce().revision == base::Revision(1); }));
    CHECK(second.shell.inForce().document->models.contains(base::ModelName("m")));
    CHECK(activations == 1);
    CHECK_FALSE(second.shell.refusal());
    CHECK(second.call("GET", "/admin/status").second["configuration"]["revision"] == 1);
    CHECK(first.call("GET", "/admin/explain?id=models").second["decisions"].size() >= 1);
}

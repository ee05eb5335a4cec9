#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/discovery/endpointentry.hpp"
#include "turmericplank/gateway/call.hpp"
#include "turmericplank/net/httptypes.hpp"
#include "turmericplank/placement/conditionalorder.hpp"
#include "turmericplank/routes/siteconfiguration.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::gateway {

/// @brief A caller's question which entry VMs to use.
struct EntryQuestion
{
    std::string host;
    base::ZoneName zone; ///< the caller's own; empty if it does not say

    friend bool operator==(const EntryQuestion &, const EntryQuestion &) = default;
};

/// @brief The answer: where to connect, and how long to keep that.
struct EntryAnswer
{
    std::vector<base::Address> addresses;
    base::Duration keepFor = std::chrono::seconds(2);

    friend bool operator==(const EntryAnswer &, const EntryAnswer &) = default;
};

/// @brief What a request at the directory or readiness address asks.
enum class EntryPath { Directory, Readiness, Unknown };

/// @brief Names and formats of callers and endpoints, as one kind of site speaks them. Holds no state and decides nothing.
struct WireFormat
{
    std::function<Call(const net::HttpRequest &)> readCall;
    std::function<net::HttpRequest(const net::HttpRequest &, const SendHead &)> makeSend;
    std::function<AnswerHead(int status, const net::Headers &)> readAnswer;
    std::function<net::Headers(const net::Headers &)> answerHeaders; ///< of an endpoint's answer, those that its caller gets
    std::function<net::HttpResponse(const Refusal &)> makeRefusal;
    std::function<EntryPath(const net::HttpRequest &)> entryPath;
    std::function<EntryQuestion(const net::HttpRequest &)> readQuestion;
    std::function<net::HttpResponse(const EntryAnswer &)> makeEntryAnswer;
    std::function<net::HttpRequest(const placement::ConditionalOrder &)> makeOrder;
    std::function<placement::ConditionalAnswer(const net::HttpResponse &)> readOrderAnswer;
    std::function<net::HttpRequest()> makeStateQuestion;
    std::function<std::optional<placement::EngineState>(const net::HttpResponse &)> readState;
};

/// @brief Why the site's store gave no result.
using store::TableFailure;

/// @brief A configuration as it was read.
struct ReadConfiguration
{
    std::shared_ptr<const routes::SiteConfiguration> configuration; ///< null where there is none yet
    std::uint64_t position = 0; ///< of the store's history, to wait for what follows
    std::string text; ///< the configuration as operators wrote it, for daemons that do not read it themselves
};

/// @brief Every endpoint's entry as of one moment.
struct ReadEndpoints
{
    std::vector<discovery::EndpointEntry> entries;
    std::vector<std::string> unreadable; ///< keys of rows of other writers
};

template<typename Result>
using ReadHook = std::function<void(tl::expected<Result, TableFailure>)>;

/// @brief What operators and endpoints keep in the site's store; every call ends in exactly one call of its hook.
struct SiteStore
{
    std::function<void(ReadHook<ReadConfiguration>)> readConfiguration;
    /// Answers when something changed behind the position, or with nothing new after a while.
    std::function<void(std::uint64_t position, ReadHook<ReadConfiguration>)> awaitConfiguration;
    std::function<void(ReadHook<ReadEndpoints>)> readEndpoints;
    /// Reads what ReadConfiguration::text holds; null if it cannot be read.
    std::function<std::shared_ptr<const routes::SiteConfiguration>(const std::string &)> parseConfiguration;
    store::Table table; ///< rows of our own
};

} // namespace turmericplank::gateway

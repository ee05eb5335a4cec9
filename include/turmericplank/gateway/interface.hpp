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

/// @brief A caller's request for the entry VMs to use.
struct DirectoryQuery
{
    std::string host;
    base::ZoneName zone; ///< of the caller; empty if not given

    friend bool operator==(const DirectoryQuery &, const DirectoryQuery &) = default;
};

/// @brief Addresses for a caller, and how long it may cache them.
struct DirectoryResponse
{
    std::vector<base::Address> addresses;
    base::Duration timeToLive = std::chrono::seconds(2);

    friend bool operator==(const DirectoryResponse &, const DirectoryResponse &) = default;
};

/// @brief Kind of a request at the directory or readiness address, by its path.
enum class EntryPath { Directory, Readiness, Unknown };

/// @brief Encodes and decodes the messages of callers and endpoints on one kind of site. Stateless.
struct WireFormat
{
    std::function<Call(const net::HttpRequest &)> decodeCall; ///< absent or malformed headers leave the defaults of Call
    std::function<net::HttpRequest(const net::HttpRequest &, const AttemptHeaders &)> makeAttemptRequest;
    std::function<ResponseHead(int status, const net::Headers &)> decodeResponseHead;
    std::function<net::Headers(const net::Headers &)> forwardedHeaders; ///< headers of an endpoint's response that are forwarded to the caller
    std::function<net::HttpResponse(const Rejection &)> makeRejection;
    std::function<EntryPath(const net::HttpRequest &)> entryPath;
    std::function<DirectoryQuery(const net::HttpRequest &)> decodeDirectoryQuery;
    std::function<net::HttpResponse(const DirectoryResponse &)> makeDirectoryResponse;
    std::function<net::HttpRequest(const placement::ConditionalOrder &)> makeOrderRequest;
    std::function<placement::ConditionalAnswer(const net::HttpResponse &)> decodeOrderResponse; ///< an engine's response to an order
    std::function<net::HttpRequest()> makeStateRequest; ///< asks an engine for its state
    std::function<std::optional<placement::EngineState>(const net::HttpResponse &)> decodeState; ///< nothing if malformed or not a success
};

/// @brief Why a call of the site's store failed.
using store::TableFailure;

/// @brief A configuration read from the store.
struct ConfigurationSnapshot
{
    std::shared_ptr<const routes::SiteConfiguration> configuration; ///< null if there is none yet
    std::uint64_t position = 0; ///< in the store's change history, to wait for later changes
    std::string text; ///< as written by operators, to be relayed to daemons that do not read the store
};

/// @brief The entries of all endpoints from one read.
struct EndpointsSnapshot
{
    std::vector<discovery::EndpointEntry> entries;
    std::vector<std::string> unreadable; ///< keys of rows that are not valid entries
};

template<typename Result>
using ReadCallback = std::function<void(tl::expected<Result, TableFailure>)>;

/// @brief Access to the site's store; every function calls its callback exactly once.
struct SiteStore
{
    std::function<void(ReadCallback<ConfigurationSnapshot>)> readConfiguration;
    /// Completes when something has changed after the position, or without changes after a timeout.
    std::function<void(std::uint64_t position, ReadCallback<ConfigurationSnapshot>)> awaitConfiguration;
    std::function<void(ReadCallback<EndpointsSnapshot>)> readEndpoints;
    /// Parses ConfigurationSnapshot::text; null if it is malformed.
    std::function<std::shared_ptr<const routes::SiteConfiguration>(const std::string &)> parseConfiguration;
    store::Table table; ///< rows of this product
    /// Sets the function that is called with a new era of the store, before the callback of the answer that first reports it. From
    /// then on, answers of earlier eras are reported as failures.
    std::function<void(std::function<void(base::StoreEra)>)> observeEra;
};

} // namespace turmericplank::gateway

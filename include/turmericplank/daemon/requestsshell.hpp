#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/daemon/peertarget.hpp"
#include "turmericplank/requests/dispatcher.hpp"

namespace turmericplank::daemon {

/// @brief What the requests shell needs from the rest of the daemon. Hooks may be empty except document and chooseEngine.
struct RequestsShellOptions
{
    std::function<std::shared_ptr<const configuration::Document>()> document; ///< configuration in force, or null
    std::function<base::Revision()> revision; ///< revision in force
    std::function<std::optional<ErrorBody>()> rejection; ///< error for new requests while none may start here, or nothing
    requests::ChooseEndpoint chooseEngine; ///< chooses the endpoint of a model call
    requests::AttemptFeedback engineFeedback; ///< receives the results of attempts at engines
    std::function<std::vector<PeerTarget>()> peers; ///< the other daemons that are reachable from here
    std::function<std::vector<base::Address>()> otherDaemonAddresses; ///< addresses of other daemons for rejected callers
    std::function<std::uint32_t(const base::ModelName &)> modelLimit; ///< maximum concurrent calls of a model at engines, zero for no limit
    /// This daemon's share of a caller's limit; called once for each request of the caller. If empty, the whole limit applies here.
    std::function<requests::CallerLimit(const base::CallerName &, const requests::CallerLimit &totalLimit)> localCallerLimit;
    std::function<bool(const base::EndpointId &)> isInstanceUsable; ///< whether a service instance may receive new work; if empty, all may
    base::Duration engineSilence = std::chrono::seconds(5); ///< timeout of a model call without progress
    base::Duration serviceSilence = std::chrono::seconds(10); ///< timeout of a service's response
    base::Duration keepAliveInterval = std::chrono::seconds(2); ///< maximum time without a byte on a caller's stream
};

/// @brief Serves callers' model calls and service calls: turns their requests into events of the dispatcher and performs its actions.
class RequestsShell
{
public:
    /// @param environment shared parts; must outlive the shell
    /// @param options callbacks to the rest of the daemon
    RequestsShell(Environment &environment, RequestsShellOptions options);
    ~RequestsShell();
    RequestsShell(const RequestsShell &) = delete;
    RequestsShell &operator=(const RequestsShell &) = delete;

    /// @brief Rejects new requests and lets those in progress finish.
    void startDraining();
    /// @brief Number of requests in progress and of bookings whose result is not stored yet.
    std::size_t inProgress() const;

private:
    struct Parts;
    std::shared_ptr<Parts> m_parts;
};

} // namespace turmericplank::daemon

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

/// @brief What the requests need of the other slices; empty hooks have harmless defaults.
struct RequestsShellOptions
{
    std::function<std::shared_ptr<const configuration::Document>()> document; ///< configuration in force, or nothing
    std::function<base::Revision()> revision; ///< revision in force
    std::function<std::optional<ErrorBody>()> refusal; ///< why no request may start here now, or nothing
    requests::ChooseEndpoint chooseEngine; ///< routing's decision for model calls
    requests::AttemptFeedback engineFeedback; ///< what became of routing's choices
    std::function<std::vector<PeerTarget>()> peers; ///< the other daemons that callers may reach
    std::function<std::vector<base::Address>()> otherEntries; ///< where refused callers may go
    std::function<std::uint32_t(const base::ModelName &)> modelLimit; ///< calls at engines at once, zero for no limit
    /// This daemon's part of a caller's limit; called once for each request of the caller.
    std::function<requests::CallerLimit(const base::CallerName &, const requests::CallerLimit &whole)> callerShare;
    std::function<bool(const base::EndpointId &)> mayUseInstance; ///< whether an instance of a service may get new work
    base::Duration engineSilence = std::chrono::seconds(5); ///< deadline of progress on a model call
    base::Duration serviceSilence = std::chrono::seconds(10); ///< deadline of a service's answer
    base::Duration keepAlive = std::chrono::seconds(2); ///< between pieces of a caller's stream
};

/// @brief Carries callers' model calls and service calls: bytes to events of the dispatcher, its actions to bytes.
class RequestsShell
{
public:
    /// @param environment shared parts, which outlive this
    /// @param options hooks to the other slices
    RequestsShell(Environment &environment, RequestsShellOptions options);
    ~RequestsShell();
    RequestsShell(const RequestsShell &) = delete;
    RequestsShell &operator=(const RequestsShell &) = delete;

    /// @brief Refuses new requests and lets those in progress end.
    void startDraining();
    /// @brief Requests in progress and bookings whose result is not stored yet.
    std::size_t inProgress() const;

private:
    struct Parts;
    std::shared_ptr<Parts> m_parts;
};

} // namespace turmericplank::daemon

#include "turmericplank/gateway/call.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::gateway {

std::vector<requests::Fingerprint> contentFingerprints(const Call &call, const net::HttpRequest &request)
{
    const auto fingerprint = [&](std::string_view target) {
        const auto address = base::fingerprint(request.method + '\n' + call.host + '\n' + std::string(target));
        return requests::Fingerprint(base::fingerprint(request.body, address));
    };
    std::vector<requests::Fingerprint> contents{fingerprint(request.target)};
    const auto path = net::path(request.target);
    if (path.size() < request.target.size()) {
        contents.push_back(fingerprint(path));
    }
    return contents;
}

std::vector<requests::Fingerprint> sharedPartFingerprints(const base::ServiceName &service, const std::vector<PromptPart> &prompt)
{
    const auto serviceFingerprint = base::fingerprint(service.text());
    std::vector<requests::Fingerprint> parts;
    for (std::size_t n = 0; n + 1 < prompt.size(); ++n) {
        parts.emplace_back(base::fingerprint(std::to_string(prompt[n].id), serviceFingerprint));
    }
    return parts;
}

std::string toString(requests::Fingerprint fingerprint)
{
    std::array<char, 17> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%016" PRIx64, fingerprint.value());
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string_view toString(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::NoConfiguration:
        return "no_configuration";
    case RejectionReason::NoRoute:
        return "no_route";
    case RejectionReason::ConfigurationUncertain:
        return "configuration_uncertain";
    case RejectionReason::BadRequest:
        return "bad_request";
    case RejectionReason::UnknownKey:
        return "unknown_key";
    case RejectionReason::LimitExceeded:
        return "limit_exceeded";
    case RejectionReason::NoEndpoint:
        return "no_endpoint";
    case RejectionReason::NotResident:
        return "not_resident";
    case RejectionReason::VersionUnavailable:
        return "version_unavailable";
    case RejectionReason::CrashesEndpoints:
        return "crashes_endpoints";
    case RejectionReason::Draining:
        return "leaving";
    case RejectionReason::Overloaded:
        return "overloaded";
    case RejectionReason::RejectedByEndpoints:
        return "refused";
    case RejectionReason::OutcomeUnknown:
        return "unknown";
    case RejectionReason::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

} // namespace turmericplank::gateway

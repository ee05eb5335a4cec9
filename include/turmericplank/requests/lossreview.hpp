#pragma once

#include <functional>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/requests/endpointloss.hpp"

namespace turmericplank::requests {

/// @brief What the loss of connections to an endpoint was caused by.
enum class LossCause {
    Endpoint, ///< others of its service are reached, so that it has probably crashed
    Contact, ///< connections to several endpoints were lost with it, or none of its service is reached
    Undecided, ///< not known yet
};

/// @brief The loss of an endpoint while it ran a content.
struct ContentLoss
{
    Fingerprint content;
    EndpointLoss loss;

    friend auto operator<=>(const ContentLoss &, const ContentLoss &) = default;
    friend bool operator==(const ContentLoss &, const ContentLoss &) = default;
};

/// @brief Intervals of LossReview.
struct LossReviewOptions
{
    base::Duration reviewDelay = std::chrono::milliseconds(150); ///< until losses by the same cause are noticed, also by a process short of processor time
    base::Duration decisionTime = std::chrono::seconds(1); ///< after which a loss without a known cause is confirmed
    base::Duration holdTime = std::chrono::seconds(4); ///< in which an endpoint that has crashed is listed as gone or as started again
};

/// @brief What a review needs to know.
struct LossReviewSources
{
    std::function<LossCause(const base::EndpointId &, base::Time lostAt)> cause;
    std::function<bool(const EndpointLoss &)> hasEnded; ///< the incarnation of the endpoint is listed no more
    std::function<void(const base::EndpointId &)> resolveDoubt; ///< finds out whether other endpoints of the same service are reached
};

/// @brief Holds losses of endpoints back until it is known that the endpoints have crashed.
///
/// A daemon that loses its contact loses connections to many sound endpoints. Their losses are confirmed only if the endpoints end as well.
class LossReview
{
public:
    explicit LossReview(LossReviewSources sources, LossReviewOptions options = {});

    /// @brief Adds a loss to be reviewed.
    void add(const ContentLoss &loss, base::Time now);

    /// @brief Reviews what is due; to be called regularly.
    /// @return losses that endpoints have crashed with
    std::vector<ContentLoss> takeConfirmed(base::Time now);

    /// @brief Number of losses that turned out to be losses of contact, since the last call.
    std::size_t takeDismissedCount();

private:
    struct Entry
    {
        ContentLoss loss;
        base::Time lostAt;
        bool isHeld = false; ///< the contact was lost
    };

    bool isConfirmed(Entry &entry, base::Time now) const;

    LossReviewSources m_sources;
    LossReviewOptions m_options;
    std::vector<Entry> m_entries;
    std::size_t m_dismissed = 0;
};

} // namespace turmericplank::requests

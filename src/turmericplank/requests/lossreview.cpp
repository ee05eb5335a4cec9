#include "turmericplank/requests/lossreview.hpp"

#include <utility>

namespace turmericplank::requests {

LossReview::LossReview(LossReviewSources sources, LossReviewOptions options)
    : m_sources(std::move(sources))
    , m_options(options)
{
}

void LossReview::add(const ContentLoss &loss, base::Time now)
{
    m_entries.push_back({loss, now});
}

std::vector<ContentLoss> LossReview::takeConfirmed(base::Time now)
{
    std::vector<ContentLoss> confirmed;
    std::vector<Entry> left;
    for (auto &it : m_entries) {
        if (isConfirmed(it, now)) {
            confirmed.push_back(it.loss);
        } else if (now < it.lostAt + m_options.holdTime) {
            left.push_back(it);
        } else {
            ++m_dismissed;
        }
    }
    m_entries = std::move(left);
    return confirmed;
}

bool LossReview::isConfirmed(Entry &entry, base::Time now) const
{
    if (now < entry.lostAt + m_options.reviewDelay) {
        return false;
    }
    if (m_sources.hasEnded(entry.loss.loss)) {
        return true;
    }
    if (entry.isHeld) {
        return false;
    }
    const auto &endpoint = entry.loss.loss.endpoint;
    switch (m_sources.cause(endpoint, entry.lostAt)) {
    case LossCause::Endpoint:
        return true;
    case LossCause::Contact:
        entry.isHeld = true;
        return false;
    case LossCause::Undecided:
        break;
    }
    m_sources.resolveDoubt(endpoint);
    return now >= entry.lostAt + m_options.decisionTime;
}

std::size_t LossReview::takeDismissedCount()
{
    return std::exchange(m_dismissed, 0);
}

} // namespace turmericplank::requests

#include "turmericplank/gateway/collectedbody.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::gateway {

CollectedBody::CollectedBody(CollectionBudgetPointer budget, std::function<void()> onGiveWay)
    : m_budget(std::move(budget))
    , m_onGiveWay(std::move(onGiveWay))
{
    m_budget->m_bodies.push_back(*this);
}

CollectedBody::~CollectedBody()
{
    m_budget->m_bytes -= m_bytes.size();
}

void CollectedBody::append(std::string_view bytes)
{
    if (!m_onGiveWay) {
        return;
    }
    m_bytes.append(bytes);
    m_budget->m_bytes += bytes.size();
    m_budget->reduceToLimit();
}

bool CollectedBody::hasGivenWay() const
{
    return !m_onGiveWay;
}

std::string CollectedBody::take()
{
    m_budget->m_bytes -= m_bytes.size();
    return std::exchange(m_bytes, {});
}

void CollectedBody::giveWay()
{
    const boost::intrusive_ptr<CollectedBody> self(this);
    m_budget->m_bytes -= m_bytes.size();
    std::string().swap(m_bytes);
    if (const auto callback = std::exchange(m_onGiveWay, nullptr)) {
        callback();
    }
}

CollectionBudget::CollectionBudget(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::size_t CollectionBudget::bytes() const
{
    return m_bytes;
}

void CollectionBudget::reduceToLimit()
{
    while (m_bytes > m_maxBytes) {
        const auto largest = std::ranges::max_element(m_bodies, {}, [](const auto &it) { return it.m_bytes.size(); });
        largest->giveWay();
    }
}

} // namespace turmericplank::gateway

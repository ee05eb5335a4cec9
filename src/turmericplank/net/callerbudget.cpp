#include "turmericplank/net/callerbudget.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::net {

std::string_view toString(GiveWayCause cause)
{
    return cause == GiveWayCause::Memory ? "memory" : "connections";
}

BudgetMember::~BudgetMember()
{
    leaveBudget();
}

void BudgetMember::leaveBudget()
{
    if (m_budget) {
        m_budget->remove(*this);
    }
}

CallerBudget::CallerBudget(CallerBudgetOptions options)
    : m_options(std::move(options))
{
}

bool CallerBudget::add(BudgetMember &member)
{
    if (m_connections >= m_options.maxConnections) {
        BudgetMember *victim = nullptr;
        for (const auto use : {ConnectionUse::Unproven, ConnectionUse::Incomplete, ConnectionUse::Idle}) {
            victim = victim == nullptr ? oldest(use, 0) : victim;
        }
        if (victim == nullptr) {
            return false;
        }
        giveWay(*victim, GiveWayCause::Connections);
    }
    member.m_budget = this;
    m_members.push_back(member);
    ++m_connections;
    return true;
}

void CallerBudget::note(BudgetMember &member, ConnectionUse use, std::size_t requestBytes, std::size_t unreadBytes)
{
    if (member.m_budget.get() != this || member.m_hasGivenWay) {
        return;
    }
    m_bytes += requestBytes + unreadBytes;
    m_bytes -= member.m_requestBytes + member.m_unreadBytes;
    member.m_use = use;
    member.m_requestBytes = requestBytes;
    member.m_unreadBytes = unreadBytes;
    member.unlink();
    m_members.push_back(member);
    while (m_bytes > m_options.maxBytes) {
        auto *victim = oldest(ConnectionUse::Incomplete, m_options.smallBytes + 1);
        victim = victim == nullptr ? largestUnread() : victim;
        if (victim == nullptr) {
            return;
        }
        giveWay(*victim, GiveWayCause::Memory);
    }
}

std::size_t CallerBudget::bytes() const
{
    return m_bytes;
}

bool CallerBudget::isExceeded() const
{
    return m_bytes > m_options.maxBytes;
}

bool CallerBudget::hasAmpleRoom() const
{
    return m_bytes < m_options.maxBytes / 2;
}

std::size_t CallerBudget::smallBytes() const
{
    return m_options.smallBytes;
}

std::size_t CallerBudget::connections() const
{
    return m_connections;
}

BudgetMember *CallerBudget::oldest(ConnectionUse use, std::size_t minBytes)
{
    const auto it =
        std::ranges::find_if(m_members, [=](const auto &member) { return !member.m_hasGivenWay && member.m_use == use && member.m_requestBytes >= minBytes; });
    return it == m_members.end() ? nullptr : &*it;
}

BudgetMember *CallerBudget::largestUnread()
{
    const auto it = std::ranges::max_element(m_members, {}, [](const auto &member) { return member.m_unreadBytes; });
    return it == m_members.end() || it->m_unreadBytes <= m_options.smallBytes ? nullptr : &*it;
}

void CallerBudget::giveWay(BudgetMember &member, GiveWayCause cause)
{
    member.m_hasGivenWay = true;
    m_bytes -= std::exchange(member.m_requestBytes, 0) + std::exchange(member.m_unreadBytes, 0);
    if (cause == GiveWayCause::Connections) {
        remove(member);
    }
    if (m_options.onGiveWay) {
        m_options.onGiveWay(cause);
    }
    member.giveWay(cause);
}

void CallerBudget::remove(BudgetMember &member)
{
    const CallerBudgetPointer guard = std::exchange(member.m_budget, nullptr);
    member.unlink();
    m_bytes -= member.m_requestBytes + member.m_unreadBytes;
    --m_connections;
}

} // namespace turmericplank::net

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace turmericplank::net {

/// @brief What a connection of a caller is used for, as far as its claim on the budget depends on it.
enum class ConnectionUse {
    Unproven, ///< has not brought a whole request yet, and has none in part
    Incomplete, ///< a request has arrived in part
    Answering, ///< a request is being answered
    Idle, ///< between two requests
};

/// @brief Why a connection has to give way.
enum class GiveWayCause {
    Memory, ///< connections hold too many bytes
    Connections, ///< too many connections are open
};

/// @brief Name of a cause in logs and metrics.
std::string_view toString(GiveWayCause cause);

class CallerBudget;

/// @brief A connection's claim on the budget; leaves it when it is destroyed.
class BudgetMember : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    virtual ~BudgetMember();

    /// @brief Ends the connection, or the request that it brings; called at most once. The bytes count as released, the
    /// connection counts until it leaves the budget.
    virtual void giveWay(GiveWayCause cause) = 0;

protected:
    /// @brief Leaves the budget before the end of the object.
    void leaveBudget();

private:
    friend class CallerBudget;

    boost::intrusive_ptr<CallerBudget> m_budget;
    ConnectionUse m_use = ConnectionUse::Unproven;
    std::size_t m_requestBytes = 0;
    std::size_t m_unreadBytes = 0;
    bool m_hasGivenWay = false;
};

/// @brief Limits of a budget.
struct CallerBudgetOptions
{
    /// Bytes of requests that are not answered yet, and of responses that callers have not read. A site's callers may send 4 MiB at once; this
    /// allows sixteen of them.
    std::size_t maxBytes = 64U * 1024 * 1024;
    std::size_t maxConnections = 4096;
    std::size_t smallBytes = 64U * 1024; ///< a connection that holds no more never gives way for memory
    std::function<void(GiveWayCause)> onGiveWay; ///< called for each connection that gives way
};

/// @brief Bounds the memory and the connections that callers occupy, over all listeners of a process.
///
/// Load that it answers: many callers that send large requests without ever completing them, that do not read their responses, or that keep
/// connections open without using them. When the budget is exceeded, incomplete requests give way first, the one without progress for the
/// longest time before others; then the response of which most is unread. For connections: those that never brought a whole request, then
/// incomplete requests, then the one that has been idle for the longest time. Requests that are being answered stay.
class CallerBudget : public boost::intrusive_ref_counter<CallerBudget, boost::thread_unsafe_counter>
{
public:
    explicit CallerBudget(CallerBudgetOptions options);

    /// @brief Adds a new connection.
    /// @return false if it must be closed, since all others are being answered
    bool add(BudgetMember &member);

    /// @brief Notes progress of a connection: it has sent or taken something, or its use has changed.
    /// @param use from now on
    /// @param requestBytes that it holds of requests
    /// @param unreadBytes that it holds of responses
    void note(BudgetMember &member, ConnectionUse use, std::size_t requestBytes, std::size_t unreadBytes);

    /// @brief Bytes that all connections hold.
    std::size_t bytes() const;

    /// @brief Whether connections hold more than they may, although all that could give way have done so.
    bool isExceeded() const;

    /// @brief Whether connections hold less than half of what they may.
    bool hasAmpleRoom() const;

    /// @brief Bytes up to which a connection never gives way for memory.
    std::size_t smallBytes() const;

    /// @brief Number of connections.
    std::size_t connections() const;

private:
    friend class BudgetMember;
    using Members = boost::intrusive::list<BudgetMember, boost::intrusive::constant_time_size<false>>;

    void remove(BudgetMember &member);
    void giveWay(BudgetMember &member, GiveWayCause cause);
    BudgetMember *oldest(ConnectionUse use, std::size_t minBytes);
    BudgetMember *largestUnread();

    CallerBudgetOptions m_options;
    Members m_members; ///< the one without progress for the longest time first
    std::size_t m_bytes = 0;
    std::size_t m_connections = 0;
};

using CallerBudgetPointer = boost::intrusive_ptr<CallerBudget>;

} // namespace turmericplank::net

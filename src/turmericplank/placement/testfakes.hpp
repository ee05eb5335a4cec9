#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/placement/order.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::placement::test {

/// @brief An engine that carries out whatever reaches it, also beyond its memory.
class FakeEngine
{
public:
    std::uint32_t capacityMib = 100;
    bool checksFencing = false;
    base::Incarnation incarnation{1};
    std::map<Resident, std::uint32_t> residents;
    std::map<base::ModelName, std::string> lastUnloads; ///< order that last unloaded a version of the model

    /// @brief Memory in use; a running load has it already, a running unload still.
    std::uint64_t memory() const
    {
        std::uint64_t sum = 0;
        for (const auto &[resident, memoryMib] : residents) {
            sum += memoryMib;
        }
        for (const auto &[id, order] : m_running) {
            sum += takesMemory(order.kind) && !residents.contains(order.resident) ? order.memoryMib : 0;
        }
        return sum;
    }

    /// @brief Carries an order out, or starts to.
    OrderAnswer take(const Order &order, bool isSlow)
    {
        const auto known = m_orders.find(order.id);
        if (known != m_orders.end()) {
            return known->second;
        }
        if (checksFencing && order.term < m_highestTerm) {
            return OrderAnswer::StaleTerm;
        }
        m_highestTerm = std::max(m_highestTerm, order.term);
        if (order.kind == OrderKind::SetTerm) {
            return OrderAnswer::Done;
        }
        m_orders[order.id] = isSlow ? OrderAnswer::Running : OrderAnswer::Done;
        if (isSlow) {
            m_running.emplace(order.id, order);
        } else {
            apply(order);
        }
        return m_orders[order.id];
    }

    /// @brief Ends all running orders.
    void finish()
    {
        for (const auto &[id, order] : m_running) {
            apply(order);
            m_orders[id] = OrderAnswer::Done;
        }
        m_running.clear();
    }

    void restart()
    {
        incarnation = incarnation.next();
        m_highestTerm = base::Term();
        residents.clear();
        m_running.clear();
        m_orders.clear();
    }

    Inventory inventory() const
    {
        Inventory result;
        result.incarnation = incarnation;
        result.memoryMib = static_cast<std::uint32_t>(memory());
        result.highestTerm = m_highestTerm;
        result.residents = residents;
        result.orders = m_orders;
        return result;
    }

private:
    void apply(const Order &order)
    {
        if (takesMemory(order.kind)) {
            residents.emplace(order.resident, order.memoryMib);
        } else if (freesMemory(order.kind)) {
            residents.erase(order.resident);
            lastUnloads[order.resident.model] = order.id;
        }
    }

    base::Term m_highestTerm;
    std::map<std::string, Order> m_running;
    std::map<std::string, OrderAnswer> m_orders;
};

/// @brief The platform's table with every fault that it may show.
class FakeTable
{
public:
    enum class Fate { AnswerLost, Late, Dropped };

    bool isDown = false;
    std::deque<Fate> fates; ///< of the next writes

    store::WriteResult write(const std::vector<store::RowWrite> &rows)
    {
        if (isDown) {
            return tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        if (fates.empty()) {
            return apply(rows);
        }
        const auto fate = fates.front();
        fates.pop_front();
        if (fate == Fate::AnswerLost) {
            apply(rows);
        } else if (fate == Fate::Late) {
            m_late.push_back(rows);
        }
        return tl::unexpected(store::TableError{store::TableFailure::Ambiguous, {}});
    }

    store::ReadResult read(const std::string &prefix) const
    {
        if (isDown) {
            return tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        std::vector<store::Row> found;
        for (const auto &[key, row] : m_rows) {
            if (key.starts_with(prefix)) {
                found.push_back(row);
            }
        }
        return found;
    }

    /// @brief Lets the writes that were late arrive.
    void deliverLate()
    {
        for (const auto &rows : m_late) {
            apply(rows);
        }
        m_late.clear();
    }

private:
    store::WriteResult apply(const std::vector<store::RowWrite> &rows)
    {
        store::TableError error{store::TableFailure::Conflict, {}};
        for (const auto &write : rows) {
            const auto it = m_rows.find(write.key);
            const auto version = it == m_rows.end() ? base::RowVersion() : it->second.version;
            if (write.expectedVersion && *write.expectedVersion != version) {
                error.conflicts.push_back(it == m_rows.end() ? store::Row{write.key, {}, {}} : it->second);
            }
        }
        if (!error.conflicts.empty()) {
            return tl::unexpected(error);
        }
        std::vector<base::RowVersion> versions;
        for (const auto &write : rows) {
            const base::RowVersion version(++m_version);
            versions.push_back(version);
            if (write.value) {
                m_rows[write.key] = store::Row{write.key, version, *write.value};
            } else {
                m_rows.erase(write.key);
            }
        }
        return versions;
    }

    std::map<std::string, store::Row> m_rows;
    std::uint64_t m_version = 0;
    std::vector<std::vector<store::RowWrite>> m_late;
};

} // namespace turmericplank::placement::test

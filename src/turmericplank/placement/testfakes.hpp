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

/// @brief Fake engine that carries out every order it receives, even beyond its memory. It rejects only orders of an earlier term, if
///        it checks terms.
class FakeEngine
{
public:
    std::uint32_t capacityMib = 100;
    bool checksFencing = false;
    base::Incarnation incarnation{1};
    std::map<Resident, std::uint32_t> residents;
    std::map<base::ModelName, std::string> lastUnloads; ///< identifier of the order that last unloaded a version of the model

    /// @brief Memory in use. It includes loads in progress, and residents that are being unloaded.
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

    /// @brief Receives an order and carries it out.
    /// @param isSlow whether the order keeps running until finish()
    OrderAnswer receive(const Order &order, bool isSlow)
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

    /// @brief Completes all running orders.
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

/// @brief Fake of the platform's table with fault injection.
class FakeTable
{
public:
    enum class WriteFault { AnswerLost, Delayed, Dropped };

    bool isDown = false;
    std::deque<WriteFault> writeFaults; ///< faults of the next writes, in order

    store::WriteResult write(const std::vector<store::RowWrite> &rows)
    {
        if (isDown) {
            return tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        if (writeFaults.empty()) {
            return apply(rows);
        }
        const auto fault = writeFaults.front();
        writeFaults.pop_front();
        if (fault == WriteFault::AnswerLost) {
            apply(rows);
        } else if (fault == WriteFault::Delayed) {
            m_delayedWrites.push_back(rows);
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

    /// @brief Applies all delayed writes.
    void deliverDelayed()
    {
        for (const auto &rows : m_delayedWrites) {
            apply(rows);
        }
        m_delayedWrites.clear();
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
    std::vector<std::vector<store::RowWrite>> m_delayedWrites;
};

} // namespace turmericplank::placement::test

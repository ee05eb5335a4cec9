#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::configuration {

/// @brief Event queue with virtual time. Events with the same time run in the order in which they were added.
class EventQueue
{
public:
    base::Time now() const
    {
        return m_now;
    }

    void at(base::Time time, std::function<void()> callback)
    {
        m_events.push({std::max(time, m_now), m_count++, std::move(callback)});
    }

    void after(base::Duration delay, std::function<void()> callback)
    {
        at(m_now + delay, std::move(callback));
    }

    void runUntil(base::Time end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.callback();
        }
        m_now = end;
    }

private:
    struct Event
    {
        base::Time time;
        std::uint64_t number = 0;
        std::function<void()> callback;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    base::Time m_now = base::timeFromMilliseconds(1'000'000'000);
    std::uint64_t m_count = 0;
    std::priority_queue<Event> m_events;
};

/// @brief In-memory table and object store that simulate latency, outages and lost responses.
class FakeStore
{
public:
    using Rows = std::map<std::string, store::Row>;

    FakeStore(EventQueue &queue, std::mt19937_64 &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    base::Duration latency = std::chrono::milliseconds(10); ///< maximum time from a call to its response; the minimum is half of it
    bool isDown = false;
    int answersToLose = 0; ///< number of next writes that are applied but whose responses are lost
    base::Duration lostWriteDelay{}; ///< additional delay before a write with a lost response is applied
    std::function<void(const Rows &before, const Rows &after)> onWritten;
    Rows rows;
    std::map<std::string, std::string> objects;
    std::uint64_t bytesMoved = 0;
    std::uint64_t calls = 0;

    store::Table table()
    {
        return {[this](auto writes, auto onDone) { transact(std::move(writes), std::move(onDone)); },
                [this](auto prefix, auto onDone) {
                    read(prefix, std::move(onDone));
                }};
    }

    store::ObjectStore objectStore()
    {
        return {[this](auto name, auto bytes, auto onDone) { put(name, bytes, std::move(onDone)); },
                [this](auto name, auto onDone) {
                    fetch(name, std::move(onDone));
                }};
    }

private:
    static constexpr base::Duration LostResponseTimeout = std::chrono::seconds(2); ///< until a write with a lost response ends with an Ambiguous failure

    base::Duration oneWayDelay()
    {
        return base::Duration(std::uniform_int_distribution<std::int64_t>(latency.count() / 4, latency.count() / 2)(m_random));
    }

    void transact(std::vector<store::RowWrite> writes, std::function<void(store::WriteResult)> onDone)
    {
        calls += 1;
        const auto isLost = answersToLose > 0;
        answersToLose -= isLost ? 1 : 0;
        m_queue.after(oneWayDelay() + (isLost ? lostWriteDelay : base::Duration()), [this, writes, onDone, isLost] {
            const auto result = isDown ? tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}}) : apply(writes);
            if (!isLost) {
                m_queue.after(oneWayDelay(), [onDone, result] { onDone(result); });
            }
        });
        if (isLost) {
            m_queue.after(LostResponseTimeout, [onDone] { onDone(tl::unexpected(store::TableError{store::TableFailure::Ambiguous, {}})); });
        }
    }

    store::WriteResult apply(const std::vector<store::RowWrite> &writes)
    {
        store::TableError conflict{store::TableFailure::Conflict, {}};
        for (const auto &it : writes) {
            const auto found = rows.find(it.key);
            const auto version = found == rows.end() ? base::RowVersion() : found->second.version;
            if (it.expectedVersion && *it.expectedVersion != version) {
                conflict.conflicts.push_back(found == rows.end() ? store::Row{it.key, {}, ""} : found->second);
            }
        }
        if (!conflict.conflicts.empty()) {
            return tl::unexpected(conflict);
        }
        const auto before = rows;
        std::vector<base::RowVersion> versions;
        for (const auto &it : writes) {
            m_version = m_version.next();
            rows[it.key] = {it.key, m_version, it.value.value_or("")};
            versions.push_back(m_version);
        }
        if (onWritten) {
            onWritten(before, rows);
        }
        return versions;
    }

    void read(const std::string &prefix, std::function<void(store::ReadResult)> onDone)
    {
        calls += 1;
        m_queue.after(oneWayDelay(), [this, prefix, onDone] {
            store::ReadResult result = tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
            if (!isDown) {
                std::vector<store::Row> found;
                for (const auto &it : rows) {
                    if (it.first.rfind(prefix, 0) == 0) {
                        found.push_back(it.second);
                        bytesMoved += it.second.value.size();
                    }
                }
                result = std::move(found);
            }
            m_queue.after(oneWayDelay(), [onDone, result] { onDone(result); });
        });
    }

    void put(const std::string &name, const std::string &bytes, std::function<void(tl::expected<void, store::TableFailure>)> onDone)
    {
        calls += 1;
        m_queue.after(oneWayDelay(), [this, name, bytes, onDone] {
            tl::expected<void, store::TableFailure> result;
            if (isDown) {
                result = tl::unexpected(store::TableFailure::Unavailable);
            } else {
                objects[name] = bytes;
                bytesMoved += bytes.size();
            }
            m_queue.after(oneWayDelay(), [onDone, result] { onDone(result); });
        });
    }

    void fetch(const std::string &name, std::function<void(tl::expected<std::optional<std::string>, store::TableFailure>)> onDone)
    {
        calls += 1;
        m_queue.after(oneWayDelay(), [this, name, onDone] {
            tl::expected<std::optional<std::string>, store::TableFailure> result;
            if (isDown) {
                result = tl::unexpected(store::TableFailure::Unavailable);
            } else if (const auto found = objects.find(name); found != objects.end()) {
                result = found->second;
                bytesMoved += found->second.size();
            }
            m_queue.after(oneWayDelay(), [onDone, result] { onDone(result); });
        });
    }

    EventQueue &m_queue;
    std::mt19937_64 &m_random;
    base::RowVersion m_version{1}; ///< initial rows have version 1
};

} // namespace turmericplank::configuration

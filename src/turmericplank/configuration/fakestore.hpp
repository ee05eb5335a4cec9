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

/// @brief Virtual time: calls what was scheduled, in the order of its times.
class EventQueue
{
public:
    base::Time now() const
    {
        return m_now;
    }

    void at(base::Time time, std::function<void()> call)
    {
        m_events.push({std::max(time, m_now), m_count++, std::move(call)});
    }

    void after(base::Duration delay, std::function<void()> call)
    {
        at(m_now + delay, std::move(call));
    }

    void runUntil(base::Time end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.call();
        }
        m_now = end;
    }

private:
    struct Event
    {
        base::Time time;
        std::uint64_t number = 0;
        std::function<void()> call;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    base::Time m_now = base::timeFromMilliseconds(1'000'000'000);
    std::uint64_t m_count = 0;
    std::priority_queue<Event> m_events;
};

/// @brief Table and object store in memory, with the faults of the real ones.
class FakeStore
{
public:
    using Rows = std::map<std::string, store::Row>;

    FakeStore(EventQueue &queue, std::mt19937_64 &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    base::Duration latency = std::chrono::milliseconds(10); ///< most time from a call to its answer
    bool isDown = false;
    int answersToLose = 0; ///< the next writes take effect and their answers are lost
    base::Duration lateBy{}; ///< how much later a write whose answer is lost takes effect
    std::function<void(const Rows &before, const Rows &after)> onWritten;
    Rows rows;
    std::map<std::string, std::string> objects;
    std::uint64_t bytesMoved = 0;
    std::uint64_t calls = 0;

    store::Table table()
    {
        return {[this](auto writes, auto hook) { transact(std::move(writes), std::move(hook)); },
                [this](auto prefix, auto hook) {
                    read(prefix, std::move(hook));
                }};
    }

    store::ObjectStore objectStore()
    {
        return {[this](auto name, auto bytes, auto hook) { put(name, bytes, std::move(hook)); },
                [this](auto name, auto hook) {
                    fetch(name, std::move(hook));
                }};
    }

private:
    static constexpr base::Duration LostAnswerTimeout = std::chrono::seconds(2);

    base::Duration half()
    {
        return base::Duration(std::uniform_int_distribution<std::int64_t>(latency.count() / 4, latency.count() / 2)(m_random));
    }

    void transact(std::vector<store::RowWrite> writes, std::function<void(store::WriteResult)> hook)
    {
        calls += 1;
        const auto isLost = answersToLose > 0;
        answersToLose -= isLost ? 1 : 0;
        m_queue.after(half() + (isLost ? lateBy : base::Duration()), [this, writes, hook, isLost] {
            const auto result = isDown ? tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}}) : apply(writes);
            if (!isLost) {
                m_queue.after(half(), [hook, result] { hook(result); });
            }
        });
        if (isLost) {
            m_queue.after(LostAnswerTimeout, [hook] { hook(tl::unexpected(store::TableError{store::TableFailure::Ambiguous, {}})); });
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

    void read(const std::string &prefix, std::function<void(store::ReadResult)> hook)
    {
        calls += 1;
        m_queue.after(half(), [this, prefix, hook] {
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
            m_queue.after(half(), [hook, result] { hook(result); });
        });
    }

    void put(const std::string &name, const std::string &bytes, std::function<void(tl::expected<void, store::TableFailure>)> hook)
    {
        calls += 1;
        m_queue.after(half(), [this, name, bytes, hook] {
            tl::expected<void, store::TableFailure> result;
            if (isDown) {
                result = tl::unexpected(store::TableFailure::Unavailable);
            } else {
                objects[name] = bytes;
                bytesMoved += bytes.size();
            }
            m_queue.after(half(), [hook, result] { hook(result); });
        });
    }

    void fetch(const std::string &name, std::function<void(tl::expected<std::optional<std::string>, store::TableFailure>)> hook)
    {
        calls += 1;
        m_queue.after(half(), [this, name, hook] {
            tl::expected<std::optional<std::string>, store::TableFailure> result;
            if (isDown) {
                result = tl::unexpected(store::TableFailure::Unavailable);
            } else if (const auto found = objects.find(name); found != objects.end()) {
                result = found->second;
                bytesMoved += found->second.size();
            }
            m_queue.after(half(), [hook, result] { hook(result); });
        });
    }

    EventQueue &m_queue;
    std::mt19937_64 &m_random;
    base::RowVersion m_version{1}; ///< rows that were there before the test have version 1
};

} // namespace turmericplank::configuration

#include "engine/scheduler.hpp"

namespace turmericplank::standins::engine {

Scheduler::Scheduler(SchedulerOptions options)
    : m_options(options)
{
}

bool Scheduler::admit(Job job, base::Time now)
{
    if (m_running.size() < m_options.concurrency) {
        start(job, now);
        return true;
    }
    if (m_waitingCount >= m_options.waitingLimit) {
        return false;
    }
    const auto priority = job.priority;
    m_waiting[priority].push_back(std::move(job));
    ++m_waitingCount;
    return true;
}

void Scheduler::start(const Job &job, base::Time now)
{
    const auto due = now + job.firstToken;
    m_running[job.id] = Running{due, 0, job.tokens};
    m_due.emplace(due, job.id);
}

void Scheduler::startWaiting(base::Time now)
{
    for (auto &[priority, jobs] : m_waiting) {
        while (!jobs.empty() && m_running.size() < m_options.concurrency) {
            start(jobs.front(), now);
            jobs.pop_front();
            --m_waitingCount;
        }
    }
}

void Scheduler::cancel(const std::string &id, base::Time now)
{
    const auto it = m_running.find(id);
    if (it != m_running.end()) {
        m_due.erase({it->second.due, id});
        m_running.erase(it);
        startWaiting(now);
        return;
    }
    for (auto &[priority, jobs] : m_waiting) {
        m_waitingCount -= jobs.remove_if([&id](const Job &job) { return job.id == id; });
    }
}

std::vector<GeneratedToken> Scheduler::advance(base::Time now)
{
    std::vector<GeneratedToken> tokens;
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto [due, id] = *m_due.begin();
        m_due.erase(m_due.begin());
        auto &running = m_running.at(id);
        ++running.generated;
        const bool isLast = running.generated >= running.tokens;
        tokens.push_back({id, running.generated == 1, isLast});
        if (isLast) {
            m_running.erase(id);
            startWaiting(due);
        } else {
            running.due = due + m_options.tokenInterval;
            m_due.emplace(running.due, id);
        }
    }
    return tokens;
}

std::optional<base::Time> Scheduler::nextDue() const
{
    return m_due.empty() ? std::nullopt : std::optional(m_due.begin()->first);
}

std::size_t Scheduler::running() const
{
    return m_running.size();
}

std::size_t Scheduler::waiting() const
{
    return m_waitingCount;
}

} // namespace turmericplank::standins::engine

#include "loadrunner.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericplank::cli {

namespace {

using nlohmann::json;

constexpr std::size_t MaxAddresses = 3; ///< addresses tried by one call
constexpr base::Duration RunsTimeout = std::chrono::seconds(6);
constexpr base::Duration AnswerTimeout = std::chrono::seconds(60);

json messagesOf(const PlannedCall &call)
{
    // All calls of a model share a prefix, like the calls of one team in production.
    const std::string instructions = "You answer technicians on site who ask " + call.model + " how to make an appliance safe. " + std::string(512, '.');
    return json::array({{{"role", "system"}, {"content", instructions}}, {{"role", "user"}, {"content", call.question}}});
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

struct LoadRunner::ActiveCall : boost::intrusive_ref_counter<LoadRunner::ActiveCall, boost::thread_unsafe_counter>
{
    ActiveCall(PlannedCall plannedCall, bool isDirectCall, base::Time dueTime)
        : call(std::move(plannedCall))
        , isDirect(isDirectCall)
        , due(dueTime)
        , check(standins::AnswerText(call.model, messagesOf(call)), call.tokens)
    {
    }

    PlannedCall call;
    bool isDirect;
    base::Time due;
    AnswerCheck check;
    bool isDuplicate = false; ///< whether this is the second copy of a duplicated booking
    std::vector<base::Address> tried;
    int status = 0;
    std::string body; ///< body of a service's answer or of an error
};

std::uint64_t LoadResult::wrongOutcomes() const
{
    const auto &it = bookings;
    return daemons.wrongAnswers() + engines.wrongAnswers() + it.doubleRuns + it.falseNotRun + it.lost + it.unequalAnswers;
}

LoadRunner::LoadRunner(LoadOptions options)
    : m_options(std::move(options))
    , m_nextCall(m_context)
    , m_end(m_context)
    , m_entries(m_context, m_options.entries)
    , m_plan(m_options.plan)
    , m_result{LoadTally(m_options.expectation), LoadTally(m_options.expectation), {}, 0, 0, 0, {}}
{
}

LoadResult LoadRunner::run()
{
    m_started = base::now();
    planNext();
    m_context.run();
    m_result.elapsed = base::now() - m_started;
    m_result.unanswered = m_inProgress;
    collectRuns();
    m_result.bookings = m_bookings.faults();
    if (m_options.serviceInstances.empty()) {
        m_result.bookings.lost = 0;
    }
    return std::move(m_result);
}

void LoadRunner::planNext()
{
    auto call = m_plan.next();
    const bool isOver = call.startOffset > m_options.duration || (m_options.count > 0 && m_planned >= m_options.count);
    if (isOver) {
        m_isPlanningDone = true;
        m_end.expires_after(m_options.grace);
        m_end.async_wait([this](const boost::system::error_code &ec) {
            if (!ec) {
                m_context.stop();
            }
        });
        stopIfDone();
        return;
    }
    ++m_planned;
    m_nextCall.expires_after(m_started + call.startOffset - base::now());
    m_nextCall.async_wait([this, call = std::move(call)](const boost::system::error_code &ec) {
        if (!ec) {
            start(call);
            planNext();
        }
    });
}

void LoadRunner::start(const PlannedCall &call)
{
    if (m_inProgress >= m_options.concurrency) {
        ++m_result.skipped;
        return;
    }
    const bool hasBoth = !m_options.entries.empty() && !m_options.engines.empty();
    const bool isChat = call.kind == CallKind::Chat;
    const bool isDirect = isChat && (m_options.entries.empty() || (hasBoth && m_chats % 2 == 1));
    m_chats += isChat ? 1 : 0;
    const int copies = call.isDuplicated ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        const ActiveCallPointer active(new ActiveCall(call, isDirect, m_started + call.startOffset));
        active->isDuplicate = n > 0;
        ++m_inProgress;
        findAddress(active);
    }
}

void LoadRunner::findAddress(const ActiveCallPointer &active)
{
    if (active->isDirect) {
        send(active, m_options.engines[m_chats % m_options.engines.size()]);
        return;
    }
    m_entries.find(active->call.model, [this, active](const std::vector<base::Address> &addresses) {
        if (addresses.empty()) {
            finish(active, tl::unexpected(net::CallFailure::NotSent));
            return;
        }
        // The second copy goes through another daemon if one is known.
        const bool hasOneAddress = active->isDuplicate && addresses.size() == 1 && active->tried.empty();
        send(active, hasOneAddress ? m_options.entries[m_planned % m_options.entries.size()] : nextAddress(*active, addresses));
    });
}

/// Skips addresses that this call has tried already, as long as there are others.
const base::Address &LoadRunner::nextAddress(const ActiveCall &active, const std::vector<base::Address> &addresses)
{
    for (std::size_t n = 0; n < addresses.size(); ++n) {
        const auto &it = addresses[(n + (active.isDuplicate ? 1 : 0)) % addresses.size()];
        if (std::find(active.tried.begin(), active.tried.end(), it) == active.tried.end()) {
            return it;
        }
    }
    return addresses.front();
}

net::HttpRequest LoadRunner::makeRequest(const ActiveCall &active) const
{
    const auto &call = active.call;
    const auto prefix = "/services/" + m_options.service;
    if (call.kind == CallKind::Lookup) {
        return {"GET", prefix + m_options.lookupPath + "/" + call.id, {{"X-Request-Id", call.id}}, {}};
    }
    net::Headers headers = {{"Content-Type", "application/json"}, {"X-Request-Id", call.id + (active.isDuplicate ? "-twin" : "")}};
    if (call.kind == CallKind::Booking) {
        headers.push_back({"Idempotency-Key", call.id});
        return {"POST", prefix + m_options.bookingPath, headers, json({{"visit", call.question}}).dump()};
    }
    headers.push_back({"X-Priority", std::string(toString(call.priority))});
    const json body = {{"model", call.model}, {"messages", messagesOf(call)}, {"max_tokens", call.tokens}, {"stream", true}};
    return {"POST", "/v1/chat/completions", headers, body.dump()};
}

void LoadRunner::send(const ActiveCallPointer &active, const base::Address &to)
{
    active->tried.push_back(to);
    active->body.clear();
    active->status = 0;
    net::HttpCallOptions options;
    options.to = to;
    options.request = makeRequest(*active);
    options.responseHeaderTimeout = AnswerTimeout;
    options.bodyIdleTimeout = AnswerTimeout;
    options.onHeaders = [active](int status, const net::Headers &) {
        active->status = status;
    };
    options.onChunk = [active](std::string_view piece) {
        if (active->call.kind == CallKind::Chat && isSuccess(active->status)) {
            active->check.addBytes(piece, base::now());
        } else {
            active->body += piece;
        }
    };
    options.onEnd = [this, active](tl::expected<void, net::CallFailure> result) {
        finish(active, result);
    };
    net::startCall(m_context, std::move(options));
}

void LoadRunner::finish(const ActiveCallPointer &active, const tl::expected<void, net::CallFailure> &result)
{
    const bool isNotSent = !result && result.error() == net::CallFailure::NotSent;
    const auto error = isSuccess(active->status) ? active->check.error() : readError(active->body);
    if (!active->isDirect && retry(active, error, isNotSent)) {
        return;
    }
    --m_inProgress;
    const bool isEndSeen = result.has_value();
    if (isNotSent) {
        noteNotSent(*active);
    } else if (active->call.kind != CallKind::Chat) {
        finishService(*active, error, isEndSeen);
    } else {
        const bool isRefused = !isSuccess(active->status) && active->status != 0;
        const auto verdict = isRefused ? Verdict::Refused : active->check.end(isEndSeen);
        tally(*active).noteChat(active->check, verdict, active->due);
        if (verdict == Verdict::Refused) {
            tally(*active).noteOutcome(error.code.empty() ? "status_" + std::to_string(active->status) : error.code + '/' + error.outcome);
        }
    }
    stopIfDone();
}

void LoadRunner::noteNotSent(const ActiveCall &active)
{
    if (active.call.kind == CallKind::Chat) {
        tally(active).noteChat(active.check, Verdict::Refused, active.due);
    } else {
        tally(active).noteService(base::now() - active.due, Verdict::Refused);
    }
    tally(active).noteOutcome("not_sent");
    noteBooking(active, Verdict::Refused, "not_run");
}

bool LoadRunner::retry(const ActiveCallPointer &active, const AnswerError &error, bool isNotSent)
{
    if (active->tried.empty() || active->tried.size() >= MaxAddresses || active->check.tokens() > 0) {
        return false;
    }
    if (isNotSent) {
        m_entries.forget(active->call.model);
        findAddress(active);
        return true;
    }
    const auto address = error.outcome == "not_run" && !error.addresses.empty() ? base::parseAddress(error.addresses.front()) : std::nullopt;
    if (address) {
        m_entries.forget(active->call.model);
        send(active, *address);
    }
    return address.has_value();
}

Verdict LoadRunner::serviceVerdict(const ActiveCall &active) const
{
    const auto body = json::parse(active.body, nullptr, false);
    if (!body.is_object()) {
        return Verdict::Truncated;
    }
    if (active.call.kind == CallKind::Booking) {
        return body.value("key", json()) == active.call.id ? Verdict::Whole : Verdict::Crossed;
    }
    return body.value("path", json()) == m_options.lookupPath + "/" + active.call.id ? Verdict::Whole : Verdict::Crossed;
}

void LoadRunner::finishService(ActiveCall &active, const AnswerError &error, bool isEndSeen)
{
    auto verdict = Verdict::Lost;
    if (isEndSeen) {
        verdict = isSuccess(active.status) ? serviceVerdict(active) : Verdict::Refused;
    }
    tally(active).noteService(base::now() - active.due, verdict);
    if (verdict == Verdict::Refused) {
        tally(active).noteOutcome(error.code.empty() ? "status_" + std::to_string(active.status) : error.code + '/' + error.outcome);
    }
    noteBooking(active, verdict, error.outcome);
}

void LoadRunner::noteBooking(const ActiveCall &active, Verdict verdict, const std::string &outcome)
{
    if (active.call.kind != CallKind::Booking) {
        return;
    }
    if (verdict == Verdict::Whole) {
        m_bookings.noteAnswered(active.call.id, active.body);
    } else if (verdict == Verdict::Refused && outcome == "not_run") {
        m_bookings.noteNotRun(active.call.id);
    } else {
        m_bookings.noteUnknown(active.call.id);
    }
}

LoadTally &LoadRunner::tally(const ActiveCall &active)
{
    return active.isDirect ? m_result.engines : m_result.daemons;
}

void LoadRunner::stopIfDone()
{
    if (m_isPlanningDone && m_inProgress == 0) {
        m_context.stop();
    }
}

void LoadRunner::collectRuns()
{
    for (const auto &it : m_options.serviceInstances) {
        net::HttpCallOptions options;
        options.to = it;
        options.request = {"GET", "/runs", {}, {}};
        net::fetchResponse(m_context, std::move(options), [this](const auto &response) {
            const auto list = response ? json::parse(response->body, nullptr, false) : json();
            m_result.reportingInstances += list.is_array() ? 1 : 0;
            for (const auto &run : list.is_array() ? list : json::array()) {
                m_bookings.noteRuns(run.at("key").template get<std::string>(), run.at("runs").template get<std::uint64_t>());
            }
        });
    }
    m_nextCall.cancel();
    m_end.cancel();
    m_context.restart();
    // Unanswered calls would keep the context running, so the loop ends once all reports have arrived or RunsTimeout is over.
    const auto deadline = std::chrono::steady_clock::now() + RunsTimeout;
    while (m_result.reportingInstances < m_options.serviceInstances.size() && m_context.run_one_until(deadline) > 0) {
    }
}

} // namespace turmericplank::cli

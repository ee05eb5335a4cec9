#include "loadrunner.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericplank::cli {

namespace {

using nlohmann::json;

constexpr std::size_t MostAddresses = 3; // addresses that one call tries
constexpr base::Duration RunsTimeout = std::chrono::seconds(6);
constexpr base::Duration AnswerTimeout = std::chrono::seconds(60);

json messagesOf(const PlannedCall &call)
{
    // Calls of one model begin alike, as those of one team do.
    const std::string instructions = "You answer technicians on site who ask " + call.model + " how to make an appliance safe. " + std::string(512, '.');
    return json::array({{{"role", "system"}, {"content", instructions}}, {{"role", "user"}, {"content", call.question}}});
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

struct LoadRunner::Flight : boost::intrusive_ref_counter<LoadRunner::Flight, boost::thread_unsafe_counter>
{
    Flight(PlannedCall plannedCall, bool goesStraight, base::Time dueTime)
        : call(std::move(plannedCall))
        , isDirect(goesStraight)
        , due(dueTime)
        , check(standins::AnswerText(call.model, messagesOf(call)), call.tokens)
    {
    }

    PlannedCall call;
    bool isDirect;
    base::Time due;
    AnswerCheck check;
    bool isTwin = false; ///< the second sending of a duplicated booking
    std::vector<base::Address> tried;
    int status = 0;
    std::string body; ///< of a whole answer or an error
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
    const bool isOver = call.after > m_options.duration || (m_options.count > 0 && m_planned >= m_options.count);
    if (isOver) {
        m_isPlanned = true;
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
    m_nextCall.expires_after(m_started + call.after - base::now());
    m_nextCall.async_wait([this, call = std::move(call)](const boost::system::error_code &ec) {
        if (!ec) {
            launch(call);
            planNext();
        }
    });
}

void LoadRunner::launch(const PlannedCall &call)
{
    if (m_inProgress >= m_options.concurrency) {
        ++m_result.leftOut;
        return;
    }
    const bool hasBoth = !m_options.entries.empty() && !m_options.engines.empty();
    const bool isChat = call.kind == CallKind::Chat;
    const bool isDirect = isChat && (m_options.entries.empty() || (hasBoth && m_chats % 2 == 1));
    m_chats += isChat ? 1 : 0;
    const int sendings = call.isDuplicated ? 2 : 1;
    for (int n = 0; n < sendings; ++n) {
        const FlightPointer flight(new Flight(call, isDirect, m_started + call.after));
        flight->isTwin = n > 0;
        ++m_inProgress;
        findAddress(flight);
    }
}

void LoadRunner::findAddress(const FlightPointer &flight)
{
    if (flight->isDirect) {
        send(flight, m_options.engines[m_chats % m_options.engines.size()]);
        return;
    }
    m_entries.find(flight->call.model, [this, flight](const std::vector<base::Address> &addresses) {
        if (addresses.empty()) {
            finish(flight, tl::unexpected(net::CallFailure::NotSent));
            return;
        }
        // The twin goes through another daemon where one is known.
        const bool isAlone = flight->isTwin && addresses.size() == 1 && flight->tried.empty();
        send(flight, isAlone ? m_options.entries[m_planned % m_options.entries.size()] : nextAddress(*flight, addresses));
    });
}

// An address that refused a connection is not tried again while there are others.
const base::Address &LoadRunner::nextAddress(const Flight &flight, const std::vector<base::Address> &addresses)
{
    for (std::size_t n = 0; n < addresses.size(); ++n) {
        const auto &it = addresses[(n + (flight.isTwin ? 1 : 0)) % addresses.size()];
        if (std::find(flight.tried.begin(), flight.tried.end(), it) == flight.tried.end()) {
            return it;
        }
    }
    return addresses.front();
}

net::HttpRequest LoadRunner::makeRequest(const Flight &flight) const
{
    const auto &call = flight.call;
    const auto prefix = "/services/" + m_options.service;
    if (call.kind == CallKind::Lookup) {
        return {"GET", prefix + m_options.lookupPath + "/" + call.id, {{"X-Request-Id", call.id}}, {}};
    }
    net::Headers headers = {{"Content-Type", "application/json"}, {"X-Request-Id", call.id + (flight.isTwin ? "-twin" : "")}};
    if (call.kind == CallKind::Booking) {
        headers.push_back({"Idempotency-Key", call.id});
        return {"POST", prefix + m_options.bookingPath, headers, json({{"visit", call.question}}).dump()};
    }
    headers.push_back({"X-Priority", std::string(toString(call.priority))});
    const json body = {{"model", call.model}, {"messages", messagesOf(call)}, {"max_tokens", call.tokens}, {"stream", true}};
    return {"POST", "/v1/chat/completions", headers, body.dump()};
}

void LoadRunner::send(const FlightPointer &flight, const base::Address &to)
{
    flight->tried.push_back(to);
    flight->body.clear();
    flight->status = 0;
    net::HttpCallOptions options;
    options.to = to;
    options.request = makeRequest(*flight);
    options.responseHeaderTimeout = AnswerTimeout;
    options.bodyIdleTimeout = AnswerTimeout;
    options.onHeaders = [flight](int status, const net::Headers &) {
        flight->status = status;
    };
    options.onChunk = [flight](std::string_view piece) {
        if (flight->call.kind == CallKind::Chat && isSuccess(flight->status)) {
            flight->check.take(piece, base::now());
        } else {
            flight->body += piece;
        }
    };
    options.onEnd = [this, flight](tl::expected<void, net::CallFailure> result) {
        finish(flight, result);
    };
    net::startCall(m_context, std::move(options));
}

void LoadRunner::finish(const FlightPointer &flight, const tl::expected<void, net::CallFailure> &result)
{
    const bool isNotSent = !result && result.error() == net::CallFailure::NotSent;
    const auto error = isSuccess(flight->status) ? flight->check.error() : readError(flight->body);
    if (!flight->isDirect && sendsAgain(flight, error, isNotSent)) {
        return;
    }
    --m_inProgress;
    const bool isEndSeen = result.has_value();
    if (isNotSent) {
        noteNotSent(*flight);
    } else if (flight->call.kind != CallKind::Chat) {
        finishService(*flight, error, isEndSeen);
    } else {
        const bool isRefused = !isSuccess(flight->status) && flight->status != 0;
        const auto verdict = isRefused ? Verdict::Refused : flight->check.end(isEndSeen);
        tally(*flight).noteChat(flight->check, verdict, flight->due);
        if (verdict == Verdict::Refused) {
            tally(*flight).noteOutcome(error.code.empty() ? "status_" + std::to_string(flight->status) : error.code + '/' + error.outcome);
        }
    }
    stopIfDone();
}

void LoadRunner::noteNotSent(const Flight &flight)
{
    if (flight.call.kind == CallKind::Chat) {
        tally(flight).noteChat(flight.check, Verdict::Refused, flight.due);
    } else {
        tally(flight).noteService(base::now() - flight.due, Verdict::Refused);
    }
    tally(flight).noteOutcome("not_sent");
    noteBooking(flight, Verdict::Refused, "not_run");
}

bool LoadRunner::sendsAgain(const FlightPointer &flight, const AnswerError &error, bool isNotSent)
{
    if (flight->tried.empty() || flight->tried.size() >= MostAddresses || flight->check.tokens() > 0) {
        return false;
    }
    if (isNotSent) {
        m_entries.forget(flight->call.model);
        findAddress(flight);
        return true;
    }
    const auto address = error.outcome == "not_run" && !error.addresses.empty() ? base::parseAddress(error.addresses.front()) : std::nullopt;
    if (address) {
        m_entries.forget(flight->call.model);
        send(flight, *address);
    }
    return address.has_value();
}

Verdict LoadRunner::serviceVerdict(const Flight &flight) const
{
    const auto body = json::parse(flight.body, nullptr, false);
    if (!body.is_object()) {
        return Verdict::Truncated;
    }
    if (flight.call.kind == CallKind::Booking) {
        return body.value("key", json()) == flight.call.id ? Verdict::Whole : Verdict::Crossed;
    }
    return body.value("path", json()) == m_options.lookupPath + "/" + flight.call.id ? Verdict::Whole : Verdict::Crossed;
}

void LoadRunner::finishService(Flight &flight, const AnswerError &error, bool isEndSeen)
{
    auto verdict = Verdict::Lost;
    if (isEndSeen) {
        verdict = isSuccess(flight.status) ? serviceVerdict(flight) : Verdict::Refused;
    }
    tally(flight).noteService(base::now() - flight.due, verdict);
    if (verdict == Verdict::Refused) {
        tally(flight).noteOutcome(error.code.empty() ? "status_" + std::to_string(flight.status) : error.code + '/' + error.outcome);
    }
    noteBooking(flight, verdict, error.outcome);
}

void LoadRunner::noteBooking(const Flight &flight, Verdict verdict, const std::string &outcome)
{
    if (flight.call.kind != CallKind::Booking) {
        return;
    }
    if (verdict == Verdict::Whole) {
        m_bookings.noteAnswered(flight.call.id, flight.body);
    } else if (verdict == Verdict::Refused && outcome == "not_run") {
        m_bookings.noteNotRun(flight.call.id);
    } else {
        m_bookings.noteUnknown(flight.call.id);
    }
}

LoadTally &LoadRunner::tally(const Flight &flight)
{
    return flight.isDirect ? m_result.engines : m_result.daemons;
}

void LoadRunner::stopIfDone()
{
    if (m_isPlanned && m_inProgress == 0) {
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
            m_result.instancesHeard += list.is_array() ? 1 : 0;
            for (const auto &run : list.is_array() ? list : json::array()) {
                m_bookings.noteRuns(run.at("key").template get<std::string>(), run.at("runs").template get<std::uint64_t>());
            }
        });
    }
    m_nextCall.cancel();
    m_end.cancel();
    m_context.restart();
    // Calls without an answer would keep the context running; the runs come within their own timeout.
    const auto deadline = std::chrono::steady_clock::now() + RunsTimeout;
    while (m_result.instancesHeard < m_options.serviceInstances.size() && m_context.run_one_until(deadline) > 0) {
    }
}

} // namespace turmericplank::cli

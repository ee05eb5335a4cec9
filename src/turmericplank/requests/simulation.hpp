#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "faketable.hpp"
#include "requestoracle.hpp"

namespace turmericplank::requests::fake {

/// @brief Daemons, endpoints, the table and the network between them, stepped by hand.
class Simulation
{
public:
    static constexpr unsigned PoisonContent = 0;
    static constexpr auto Step = std::chrono::milliseconds(100);

    struct Options
    {
        std::size_t daemons = 3;
        std::size_t endpoints = 6;
        std::function<void(DispatcherOptions &)> change; ///< breaks a rule
    };

    explicit Simulation(Options options)
        : m_options(std::move(options))
    {
        m_endpoints.resize(m_options.endpoints);
        for (std::size_t n = 0; n < m_options.daemons; ++n) {
            m_daemons.emplace_back();
            startDaemon(n);
        }
        advance(0);
        flow(2);
    }

    // ---- callers

    /// @brief A caller submits; a booking's body is told by its content.
    CallNumber submit(std::size_t daemon, CallKind kind, unsigned content, const std::string &key)
    {
        daemon %= m_daemons.size();
        m_lastCall = m_lastCall.next();
        Submission submission;
        submission.call = m_lastCall;
        submission.daemon = daemon;
        submission.incarnation = m_daemons[daemon].incarnation;
        submission.kind = kind;
        submission.content = content;
        submission.key = key;
        submission.deadline = now + std::chrono::seconds(4 + content % 4 * 4);
        submission.isPoison = content == PoisonContent;
        submission.isAfterDrain = m_daemons[daemon].isDraining;
        oracle.add(submission);
        IncomingCall arrival;
        arrival.call = m_lastCall;
        arrival.id = base::RequestId(std::to_string(m_lastCall.value()));
        arrival.kind = kind;
        arrival.target = base::ModelName("m");
        arrival.priority = static_cast<base::Priority>(content % 3);
        arrival.deadline = submission.deadline;
        arrival.fingerprint = Fingerprint(content + 1);
        arrival.rowKey = "bookings/" + key;
        arrival.bodyDigest = std::to_string(content);
        post(daemon, [this, daemon, arrival] { perform(daemon, m_daemons[daemon].dispatcher->submit(arrival, now)); });
        return m_lastCall;
    }

    /// @brief A caller closes before its answer has ended.
    void close(CallNumber call)
    {
        auto &it = oracle.submissions.at(call);
        if (it.isClosed || isFinal(it)) {
            return;
        }
        it.isClosed = true;
        const auto daemon = it.daemon;
        post(daemon, [this, daemon, call] { perform(daemon, m_daemons[daemon].dispatcher->callerDisconnected(call, now)); });
    }

    /// @brief Whether a caller has its last word, or never gets one.
    bool isFinal(const Submission &it) const
    {
        return it.isComplete || it.error || it.isClosed || it.incarnation != m_daemons[it.daemon].incarnation;
    }

    // ---- network

    /// @brief Hands over the message at an index, if its receiver is not paused.
    void deliver(std::size_t index)
    {
        if (m_messages.empty()) {
            return;
        }
        const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size());
        if (at->daemon && m_daemons[*at->daemon].isPaused) {
            return;
        }
        const auto message = std::move(*at);
        m_messages.erase(at);
        message.deliver();
    }

    /// @brief Hands over the oldest messages and the next item of each connection, several times.
    void flow(unsigned rounds)
    {
        for (; rounds > 0; --rounds) {
            for (auto n = m_messages.size(); n > 0; --n) {
                deliverOldest();
            }
            for (std::size_t n = 0; n < m_connections.size(); ++n) {
                pump(n);
            }
        }
    }

    /// @brief Loses a message; its sender learns what a broken connection tells it.
    void lose(std::size_t index)
    {
        if (m_messages.empty()) {
            return;
        }
        const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size());
        if (!at->lose) {
            return;
        }
        const auto message = std::move(*at);
        m_messages.erase(at);
        message.lose();
    }

    /// @brief The sender gives a message up while it is still under way.
    void delay(std::size_t index)
    {
        if (m_messages.empty() || !m_messages[index % m_messages.size()].lose) {
            return;
        }
        auto &message = m_messages[index % m_messages.size()];
        const auto lose = std::exchange(message.lose, nullptr);
        lose();
    }

    /// @brief A message comes twice.
    void repeat(std::size_t index)
    {
        if (!m_messages.empty() && m_messages[index % m_messages.size()].mayRepeat) {
            m_messages.push_back(m_messages[index % m_messages.size()]);
        }
    }

    /// @brief Delivers the next item of a connection.
    void pump(std::size_t index)
    {
        if (m_connections.empty()) {
            return;
        }
        auto &it = m_connections[index % m_connections.size()];
        if (it.isSilent || it.items.empty() || m_daemons[it.daemon].isPaused) {
            return;
        }
        const auto item = std::move(it.items.front());
        it.items.pop_front();
        if (it.incarnation != m_daemons[it.daemon].incarnation) {
            return;
        }
        auto &dispatcher = *m_daemons[it.daemon].dispatcher;
        const auto daemon = it.daemon;
        perform(daemon,
                item.end ? dispatcher.attemptEnded(it.call, it.attempt, *item.end, now) : dispatcher.piece(it.call, it.attempt, item.offset, item.text, now));
    }

    /// @brief A connection stays open and nothing comes any more.
    void silence(std::size_t index)
    {
        if (!m_connections.empty()) {
            m_connections[index % m_connections.size()].isSilent = true;
        }
    }

    /// @brief A connection breaks; what was under way on it is gone.
    void breakOff(std::size_t index)
    {
        if (m_connections.empty()) {
            return;
        }
        auto &it = m_connections[index % m_connections.size()];
        if (!it.isEnded) {
            it.isEnded = true;
            it.items = {Item{0, {}, AttemptResult::Lost}};
        }
    }

    // ---- machines

    void advance(unsigned milliseconds)
    {
        now += std::chrono::milliseconds(milliseconds);
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (!m_daemons[n].isPaused) {
                perform(n, m_daemons[n].dispatcher->tick(now));
            }
        }
    }

    void pause(std::size_t daemon, bool isPaused)
    {
        m_daemons[daemon % m_daemons.size()].isPaused = isPaused;
    }

    /// @brief A daemon dies at once; another starts in its place.
    ///
    /// What it alone knew of a crashing request dies with it, so that one may cost another endpoint; if no other daemon
    /// was informed, the cell's whole memory is gone.
    void killDaemon(std::size_t daemon)
    {
        daemon %= m_daemons.size();
        for (const auto &[call, it] : oracle.submissions) {
            m_poisonAllowance += it.daemon == daemon && it.isPoison && !isFinal(it) ? 1 : 0;
        }
        bool isMemoryLeft = false;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            isMemoryLeft = isMemoryLeft || (n != daemon && m_daemons[n].dispatcher->suspects().isInformed());
        }
        m_poisonAllowance += isMemoryLeft ? 0 : 2;
        startDaemon(daemon);
    }

    void drain(std::size_t daemon)
    {
        auto &it = m_daemons[daemon % m_daemons.size()];
        it.isDraining = true;
        it.dispatcher->startDraining();
    }

    void crashEndpoint(std::size_t endpoint)
    {
        auto &it = m_endpoints[endpoint % m_endpoints.size()];
        it.isUp = false;
        it.runs.clear();
        for (auto &connection : m_connections) {
            if (connection.endpoint == endpoint % m_endpoints.size() && !connection.isEnded) {
                connection.isEnded = true;
                connection.items.push_back(Item{0, {}, AttemptResult::Lost});
            }
        }
    }

    void startEndpoint(std::size_t endpoint)
    {
        auto &it = m_endpoints[endpoint % m_endpoints.size()];
        it.incarnation += it.isUp ? 0 : 1;
        it.isUp = true;
    }

    void setLeaving(std::size_t endpoint, bool isLeaving)
    {
        m_endpoints[endpoint % m_endpoints.size()].isLeaving = isLeaving;
    }

    /// @brief Mends everything and lets time pass, until every caller must have its last word.
    void settle()
    {
        table.isDown = false;
        for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
            startEndpoint(n);
            setLeaving(n, false);
        }
        for (auto &it : m_daemons) {
            it.isPaused = false;
        }
        for (int n = 0; n < 80; ++n) {
            flow(8);
            advance(n < 40 ? 100 : 600);
            for (std::size_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
                startEndpoint(endpoint);
            }
        }
        for (const auto &[call, it] : oracle.submissions) {
            if (!isFinal(it)) {
                oracle.violations.push_back(Violation::Unfinished);
            }
        }
        checkRetries();
    }

    std::size_t messages() const
    {
        return m_messages.size();
    }

    base::Time now{std::chrono::seconds(1'000'000)};
    Table table;
    Oracle oracle;

private:
    struct Message
    {
        std::optional<std::size_t> daemon; ///< receiver, if it is a daemon
        std::function<void()> deliver;
        std::function<void()> lose; ///< empty if it cannot be lost
        bool mayRepeat = false;
    };
    struct Item
    {
        std::uint64_t offset = 0;
        std::string text;
        std::optional<AttemptResult> end;
    };
    struct Connection
    {
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        CallNumber call;
        base::Attempt attempt;
        std::size_t endpoint = 0;
        std::uint64_t source = 0;
        std::deque<Item> items;
        bool isSilent = false;
        bool isEnded = false;
        bool isGivenUp = false; ///< its daemon has closed it
        bool isCrashed = false; ///< its request brought the endpoint down
        bool isTrial = false;
    };
    struct Endpoint
    {
        bool isUp = true;
        bool isLeaving = false;
        std::uint64_t incarnation = 1;
        std::set<std::string> runs; ///< wire names
    };
    struct Daemon
    {
        std::unique_ptr<Dispatcher> dispatcher;
        std::uint64_t incarnation = 0;
        bool isPaused = false;
        bool isDraining = false;
        std::set<base::RequestId> sent;
        std::uint64_t retries = 0;
        std::uint64_t successes = 0;
        base::Time startedAt;
    };

    static base::DaemonId daemonName(std::size_t daemon)
    {
        return base::DaemonId("d" + std::to_string(daemon));
    }

    void startDaemon(std::size_t index)
    {
        auto &daemon = m_daemons[index];
        const auto incarnation = daemon.incarnation + 1;
        daemon = Daemon();
        daemon.incarnation = incarnation;
        daemon.startedAt = now;
        DispatcherOptions options;
        options.choose = [this](const ChoiceQuery &query, base::Time) {
            return choose(query);
        };
        options.feedback.onSent = [this, index](const ChoiceQuery &query, const EndpointChoice &, base::Time) {
            auto &sender = m_daemons[index];
            sender.retries += !sender.sent.insert(query.request).second && !query.isTrial ? 1 : 0;
        };
        options.feedback.onEnded = [this, index](const EndpointChoice &, AttemptResult end, base::Time) {
            m_daemons[index].successes += end == AttemptResult::Answered ? 1 : 0;
        };
        options.admission.modelLimit = [](const base::ModelName &) {
            return 6U;
        };
        options.bookings.self = daemonName(index);
        options.bookings.claimsFirst = index % 2 == 1;
        options.bookings.makeToken = [this] {
            return "t" + std::to_string(++m_lastToken);
        };
        options.bookings.transactionInterval = std::chrono::milliseconds(0);
        options.suspects.self = daemonName(index);
        options.suspects.peers = [this, index] {
            std::vector<base::DaemonId> peers;
            for (std::size_t n = 0; n < m_daemons.size(); ++n) {
                if (n != index) {
                    peers.push_back(daemonName(n));
                }
            }
            return peers;
        };
        if (m_options.change) {
            m_options.change(options);
        }
        daemon.dispatcher = std::make_unique<Dispatcher>(std::move(options));
    }

    std::optional<EndpointChoice> choose(const ChoiceQuery &query)
    {
        for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
            const auto index = ++m_lastChoice % m_endpoints.size();
            const base::EndpointId id(std::to_string(index));
            if (std::find(query.avoid.begin(), query.avoid.end(), id) == query.avoid.end()) {
                return EndpointChoice{id, base::Address{"127.0.0.1", 1}, 0, base::Incarnation(m_endpoints[index].incarnation)};
            }
        }
        return std::nullopt;
    }

    void post(std::size_t daemon, std::function<void()> deliver, std::function<void()> lose = nullptr, bool mayRepeat = false)
    {
        const auto incarnation = m_daemons[daemon].incarnation;
        auto guarded = [this, daemon, incarnation, deliver = std::move(deliver)] {
            if (m_daemons[daemon].incarnation == incarnation) {
                deliver();
            }
        };
        m_messages.push_back(Message{daemon, std::move(guarded), std::move(lose), mayRepeat});
    }

    void deliverOldest()
    {
        for (std::size_t n = 0; n < m_messages.size(); ++n) {
            if (!m_messages[n].daemon || !m_daemons[*m_messages[n].daemon].isPaused) {
                deliver(n);
                return;
            }
        }
    }

    void perform(std::size_t daemon, const DispatchActions &actions)
    {
        for (const auto &it : actions) {
            if (const auto *call = std::get_if<CallAction>(&it)) {
                performCall(daemon, *call);
            } else if (const auto *write = std::get_if<WriteRows>(&it)) {
                performWrite(daemon, *write);
            } else if (const auto *read = std::get_if<ReadRow>(&it)) {
                performRead(daemon, *read);
            } else if (const auto *ask = std::get_if<AskPeer>(&it)) {
                performAsk(daemon, *ask);
            } else if (const auto *tell = std::get_if<NotifyPeer>(&it)) {
                performTell(daemon, *tell);
            } else if (const auto *list = std::get_if<RequestSuspects>(&it)) {
                performAskSuspects(daemon, *list);
            }
        }
    }

    void performCall(std::size_t daemon, const CallAction &action)
    {
        if (const auto *send = std::get_if<SendAttempt>(&action.payload)) {
            performSend(daemon, action.call, *send);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action.payload)) {
            for (auto &it : m_connections) {
                const bool isMeant = it.call == action.call && it.attempt <= cancel->attempt;
                // A trial that is given up before the news of its endpoint comes cannot be held against the request.
                m_poisonAllowance += isMeant && !it.isGivenUp && it.isCrashed && it.isTrial && !it.items.empty() ? 1 : 0;
                it.isGivenUp = it.isGivenUp || isMeant;
            }
        } else if (const auto *piece = std::get_if<DeliverPiece>(&action.payload)) {
            oracle.received(action.call, *piece);
        } else if (std::holds_alternative<CompleteCall>(action.payload)) {
            oracle.completed(action.call);
        } else if (const auto *fail = std::get_if<FailCall>(&action.payload)) {
            oracle.failed(action.call, fail->error);
        }
    }

    void performSend(std::size_t daemon, CallNumber call, const SendAttempt &send)
    {
        const auto index = m_connections.size();
        Connection connection;
        connection.daemon = daemon;
        connection.incarnation = m_daemons[daemon].incarnation;
        connection.call = call;
        connection.attempt = send.attempt;
        connection.endpoint = std::stoul(send.choice.endpoint.text());
        connection.source = index + 1;
        connection.isTrial = m_daemons[daemon].dispatcher->suspects().isTrying(Fingerprint(oracle.submissions.at(call).content + 1));
        m_connections.push_back(std::move(connection));
        Message message;
        message.deliver = [this, index, send] {
            arriveAtEndpoint(index, send);
        };
        message.lose = [this, index] {
            breakOff(index);
        };
        m_messages.push_back(std::move(message));
    }

    void arriveAtEndpoint(std::size_t index, const SendAttempt &send)
    {
        auto &connection = m_connections[index];
        auto &endpoint = m_endpoints[connection.endpoint];
        const auto &submission = oracle.submissions.at(connection.call);
        if (!endpoint.isUp) {
            // A broken connection was reported already; otherwise the connection could not be made.
            finish(connection, AttemptResult::NotSent);
            return;
        }
        if (send.isResume ? !endpoint.runs.contains(send.runId) : endpoint.isLeaving) {
            finish(connection, AttemptResult::Refused);
            return;
        }
        if (!send.isResume) {
            endpoint.runs.insert(send.runId);
            oracle.ran(connection.call);
            if (submission.isPoison) {
                // Nobody listens for the end of an attempt that was given up before it ran.
                m_poisonAllowance += connection.isGivenUp ? 1 : 0;
                connection.isCrashed = true;
                crashEndpoint(connection.endpoint);
                oracle.crashed(connection.call, 2 + m_poisonAllowance);
                return;
            }
        }
        if (connection.isEnded) {
            return;
        }
        if (submission.kind != CallKind::Model) {
            const auto text = encode(StoredAnswer{200, "text/plain", std::to_string(submission.content)});
            connection.items.push_back(Item{0, text, std::nullopt});
        }
        for (auto n = send.offset; submission.kind == CallKind::Model && n < Oracle::PieceCount; ++n) {
            connection.items.push_back(Item{n, Oracle::pieceText(submission.content, n, connection.source), std::nullopt});
        }
        finish(connection, AttemptResult::Answered);
    }

    static void finish(Connection &connection, AttemptResult end)
    {
        if (!connection.isEnded) {
            connection.isEnded = true;
            connection.items.push_back(Item{0, {}, end});
        }
    }

    void performWrite(std::size_t daemon, const WriteRows &write)
    {
        const auto answer = [this, daemon, operation = write.operation](const store::WriteResult &result) {
            post(daemon, [this, daemon, operation, result] { perform(daemon, m_daemons[daemon].dispatcher->tableWritten(operation, result, now)); });
        };
        const auto giveUp = [answer] {
            answer(tl::make_unexpected(store::TableError{store::TableFailure::Ambiguous, {}}));
        };
        const auto incarnation = m_daemons[daemon].incarnation;
        const auto arrive = [this, daemon, incarnation, write, answer, giveUp] {
            const auto result = table.transact(write.writes);
            if (m_daemons[daemon].incarnation != incarnation) {
                return;
            }
            // The answer may be lost although the write took effect.
            post(
                daemon,
                [this, daemon, operation = write.operation, result] { perform(daemon, m_daemons[daemon].dispatcher->tableWritten(operation, result, now)); },
                giveUp);
        };
        m_messages.push_back(Message{std::nullopt, arrive, giveUp, true});
    }

    void performRead(std::size_t daemon, const ReadRow &read)
    {
        const auto answer = [this, daemon, operation = read.operation](const store::ReadResult &result) {
            post(daemon, [this, daemon, operation, result] { perform(daemon, m_daemons[daemon].dispatcher->tableRead(operation, result, now)); });
        };
        const auto giveUp = [answer] {
            answer(tl::make_unexpected(store::TableError{store::TableFailure::Ambiguous, {}}));
        };
        m_messages.push_back(Message{std::nullopt, [this, read, answer] { answer(table.read(read.key)); }, giveUp, false});
    }

    void performAsk(std::size_t from, const AskPeer &ask)
    {
        const auto to = std::stoul(ask.to.text().substr(1));
        post(
            to,
            [this, from, to, question = ask.question] {
                TrialReply reply;
                perform(to, m_daemons[to].dispatcher->question(daemonName(from), question, now, reply));
                post(
                    from, [this, from, to, reply] { perform(from, m_daemons[from].dispatcher->reply(daemonName(to), reply, now)); }, [] {}, true);
            },
            [] {}, true);
    }

    void performTell(std::size_t from, const NotifyPeer &tell)
    {
        const auto to = std::stoul(tell.to.text().substr(1));
        post(
            to,
            [this, from, to, notification = tell.notification] {
                m_daemons[to].dispatcher->notificationReceived(daemonName(from), notification, now);
                post(
                    from, [this, from, to, notification] { m_daemons[from].dispatcher->notificationAcknowledged(daemonName(to), notification.fingerprint); },
                    [] {}, true);
            },
            [] {}, true);
    }

    void performAskSuspects(std::size_t from, const RequestSuspects &ask)
    {
        const auto to = std::stoul(ask.to.text().substr(1));
        const auto answer = [this, from, to] {
            const auto list = m_daemons[to].dispatcher->suspectsRequested(daemonName(from));
            const auto take = [this, from, to, list] {
                m_daemons[from].dispatcher->suspectsReceived(daemonName(to), list, now);
            };
            post(
                from, take, [] {}, true);
        };
        post(
            to, answer, [] {}, true);
    }

    void checkRetries()
    {
        for (const auto &it : m_daemons) {
            const auto windows = 1 + std::chrono::duration_cast<std::chrono::seconds>(now - it.startedAt).count() / 10;
            const auto allowed =
                RetryBudgetOptions().reserve * static_cast<double>(windows + 1) + RetryBudgetOptions().share * static_cast<double>(it.successes);
            if (static_cast<double>(it.retries) > allowed) {
                oracle.violations.push_back(Violation::TooManyRetries);
            }
        }
    }

    Options m_options;
    std::vector<Daemon> m_daemons;
    std::vector<Endpoint> m_endpoints;
    std::deque<Message> m_messages;
    std::vector<Connection> m_connections;
    CallNumber m_lastCall;
    std::uint64_t m_lastToken = 0;
    std::size_t m_lastChoice = 0;
    unsigned m_poisonAllowance = 0;
};

} // namespace turmericplank::requests::fake

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "faketable.hpp"
#include "requestoracle.hpp"

namespace turmericplank::requests::fake {

/// @brief Simulation of daemons, endpoints, the table and the network between them; tests advance it step by step.
class Simulation
{
public:
    static constexpr unsigned PoisonContent = 0; ///< content of the request that crashes endpoints
    static constexpr auto Step = std::chrono::milliseconds(100);

    struct Options
    {
        std::size_t daemons = 3;
        std::size_t endpoints = 6;
        std::function<void(DispatcherOptions &)> modify; ///< changes the daemons' options, for example to break a rule
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

    /// @brief Submits a request; the content stands for the body.
    CallNumber submit(std::size_t daemon, RequestKind kind, unsigned content, const std::string &key)
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
        IncomingCall incoming;
        incoming.call = m_lastCall;
        incoming.id = base::RequestId(std::to_string(m_lastCall.value()));
        incoming.kind = kind;
        incoming.target = base::ModelName("m");
        incoming.priority = static_cast<base::Priority>(content % 3);
        incoming.deadline = submission.deadline;
        incoming.fingerprint = Fingerprint(content + 1);
        incoming.rowKey = "bookings/" + key;
        incoming.bodyDigest = std::to_string(content);
        post(daemon, [this, daemon, incoming] { perform(daemon, m_daemons[daemon].dispatcher->submit(incoming, now)); });
        return m_lastCall;
    }

    /// @brief Disconnects a caller before the end of its answer.
    void disconnect(CallNumber call)
    {
        auto &it = oracle.submissions.at(call);
        if (it.isDisconnected || isFinal(it)) {
            return;
        }
        it.isDisconnected = true;
        const auto daemon = it.daemon;
        post(daemon, [this, daemon, call] { perform(daemon, m_daemons[daemon].dispatcher->callerDisconnected(call, now)); });
    }

    /// @brief Whether a caller has received its answer or can no longer receive one.
    bool isFinal(const Submission &it) const
    {
        return it.isComplete || it.error || it.isDisconnected || it.incarnation != m_daemons[it.daemon].incarnation;
    }

    // ---- network

    /// @brief Delivers the message at an index, if its receiver is not paused.
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

    /// @brief Delivers the present messages and the next item of each connection, several times.
    void flow(unsigned rounds)
    {
        for (; rounds > 0; --rounds) {
            for (auto n = m_messages.size(); n > 0; --n) {
                deliverOldest();
            }
            for (std::size_t n = 0; n < m_connections.size(); ++n) {
                deliverItem(n);
            }
        }
    }

    /// @brief Loses a message; its sender sees a broken connection.
    void loseMessage(std::size_t index)
    {
        if (m_messages.empty()) {
            return;
        }
        const auto at = m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size());
        if (!at->reportLoss) {
            return;
        }
        const auto message = std::move(*at);
        m_messages.erase(at);
        message.reportLoss();
    }

    /// @brief Lets the sender of a message give up while the message is still in transit.
    void giveUpMessage(std::size_t index)
    {
        if (m_messages.empty() || !m_messages[index % m_messages.size()].reportLoss) {
            return;
        }
        auto &message = m_messages[index % m_messages.size()];
        const auto reportLoss = std::exchange(message.reportLoss, nullptr);
        reportLoss();
    }

    /// @brief Duplicates a message.
    void duplicateMessage(std::size_t index)
    {
        if (!m_messages.empty() && m_messages[index % m_messages.size()].mayRepeat) {
            m_messages.push_back(m_messages[index % m_messages.size()]);
        }
    }

    /// @brief Delivers the next item of a connection.
    void deliverItem(std::size_t index)
    {
        if (m_connections.empty()) {
            return;
        }
        auto &it = m_connections[index % m_connections.size()];
        if (it.isStalled || it.items.empty() || m_daemons[it.daemon].isPaused) {
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
                item.result ? dispatcher.attemptEnded(it.call, it.attempt, *item.result, now)
                            : dispatcher.piece(it.call, it.attempt, item.offset, item.text, now));
    }

    /// @brief Stalls a connection: it stays open, but nothing arrives any more.
    void stallConnection(std::size_t index)
    {
        if (!m_connections.empty()) {
            m_connections[index % m_connections.size()].isStalled = true;
        }
    }

    /// @brief Breaks a connection; undelivered items are lost.
    void breakConnection(std::size_t index)
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

    // ---- time, daemons and endpoints

    /// @brief Advances the time and calls tick() of all daemons that are not paused.
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

    /// @brief Kills a daemon and starts another in its place.
    ///
    /// What only this daemon knew about a crashing request is lost, so the request may crash one more endpoint. If no other
    /// daemon was synchronized, the cell has lost all its suspects and the request may crash two more.
    void killDaemon(std::size_t daemon)
    {
        daemon %= m_daemons.size();
        for (const auto &[call, it] : oracle.submissions) {
            m_extraPoisonLosses += it.daemon == daemon && it.isPoison && !isFinal(it) ? 1 : 0;
        }
        bool isAnySynchronized = false;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            isAnySynchronized = isAnySynchronized || (n != daemon && m_daemons[n].dispatcher->suspects().isSynchronized());
        }
        m_extraPoisonLosses += isAnySynchronized ? 0 : 2;
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

    /// @brief Repairs all faults and advances the time until every caller must have its final answer.
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
        std::function<void()> reportLoss; ///< reports the loss to the sender; empty if the message cannot be lost
        bool mayRepeat = false;
    };
    struct Item
    {
        std::uint64_t offset = 0;
        std::string text;
        std::optional<AttemptResult> result;
    };
    struct Connection
    {
        std::size_t daemon = 0;
        std::uint64_t incarnation = 0;
        CallNumber call;
        base::Attempt attempt;
        std::size_t endpoint = 0;
        std::uint64_t source = 0; ///< number of the connection
        std::deque<Item> items;
        bool isStalled = false;
        bool isEnded = false;
        bool isCancelled = false; ///< the daemon has cancelled the attempt
        bool hasCrashedEndpoint = false; ///< its request crashed the endpoint
        bool isTrial = false;
    };
    struct Endpoint
    {
        bool isUp = true;
        bool isLeaving = false;
        std::uint64_t incarnation = 1;
        std::set<std::string> runs; ///< run ids
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
        options.feedback.onEnded = [this, index](const EndpointChoice &, AttemptResult result, base::Time) {
            m_daemons[index].successes += result == AttemptResult::Answered ? 1 : 0;
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
        if (m_options.modify) {
            m_options.modify(options);
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

    void post(std::size_t daemon, std::function<void()> deliver, std::function<void()> reportLoss = nullptr, bool mayRepeat = false)
    {
        const auto incarnation = m_daemons[daemon].incarnation;
        auto guarded = [this, daemon, incarnation, deliver = std::move(deliver)] {
            if (m_daemons[daemon].incarnation == incarnation) {
                deliver();
            }
        };
        m_messages.push_back(Message{daemon, std::move(guarded), std::move(reportLoss), mayRepeat});
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
            } else if (const auto *notify = std::get_if<NotifyPeer>(&it)) {
                performNotify(daemon, *notify);
            } else if (const auto *suspects = std::get_if<RequestSuspects>(&it)) {
                performRequestSuspects(daemon, *suspects);
            }
        }
    }

    void performCall(std::size_t daemon, const CallAction &action)
    {
        if (const auto *send = std::get_if<SendAttempt>(&action.payload)) {
            performSend(daemon, action.call, *send);
        } else if (const auto *cancel = std::get_if<CancelAttempt>(&action.payload)) {
            for (auto &it : m_connections) {
                const bool isTargeted = it.call == action.call && it.attempt <= cancel->attempt;
                // If a trial is cancelled before the loss of its endpoint is reported, the loss cannot be recorded.
                m_extraPoisonLosses += isTargeted && !it.isCancelled && it.hasCrashedEndpoint && it.isTrial && !it.items.empty() ? 1 : 0;
                it.isCancelled = it.isCancelled || isTargeted;
            }
        } else if (const auto *piece = std::get_if<DeliverPiece>(&action.payload)) {
            oracle.recordPiece(action.call, *piece);
        } else if (std::holds_alternative<CompleteCall>(action.payload)) {
            oracle.recordCompletion(action.call);
        } else if (const auto *fail = std::get_if<FailCall>(&action.payload)) {
            oracle.recordError(action.call, fail->error);
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
        connection.isTrial = m_daemons[daemon].dispatcher->suspects().hasTrial(Fingerprint(oracle.submissions.at(call).content + 1));
        m_connections.push_back(std::move(connection));
        Message message;
        message.deliver = [this, index, send] {
            arriveAtEndpoint(index, send);
        };
        message.reportLoss = [this, index] {
            breakConnection(index);
        };
        m_messages.push_back(std::move(message));
    }

    void arriveAtEndpoint(std::size_t index, const SendAttempt &send)
    {
        auto &connection = m_connections[index];
        auto &endpoint = m_endpoints[connection.endpoint];
        const auto &submission = oracle.submissions.at(connection.call);
        if (!endpoint.isUp) {
            // Reports a failed connection, unless a broken one was reported already.
            finish(connection, AttemptResult::NotSent);
            return;
        }
        if (send.isResume ? !endpoint.runs.contains(send.runId) : endpoint.isLeaving) {
            finish(connection, AttemptResult::Refused);
            return;
        }
        if (!send.isResume) {
            endpoint.runs.insert(send.runId);
            oracle.recordRun(connection.call);
            if (submission.isPoison) {
                // The result of an attempt that was cancelled before it ran is not received by any daemon.
                m_extraPoisonLosses += connection.isCancelled ? 1 : 0;
                connection.hasCrashedEndpoint = true;
                crashEndpoint(connection.endpoint);
                oracle.recordCrash(connection.call, 2 + m_extraPoisonLosses);
                return;
            }
        }
        if (connection.isEnded) {
            return;
        }
        if (submission.kind != RequestKind::Model) {
            const auto text = encode(StoredAnswer{200, "text/plain", std::to_string(submission.content)});
            connection.items.push_back(Item{0, text, std::nullopt});
        }
        for (auto n = send.offset; submission.kind == RequestKind::Model && n < Oracle::PieceCount; ++n) {
            connection.items.push_back(Item{n, Oracle::pieceText(submission.content, n, connection.source), std::nullopt});
        }
        finish(connection, AttemptResult::Answered);
    }

    static void finish(Connection &connection, AttemptResult result)
    {
        if (!connection.isEnded) {
            connection.isEnded = true;
            connection.items.push_back(Item{0, {}, result});
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
            // The answer may be lost although the write has taken effect.
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

    void performNotify(std::size_t from, const NotifyPeer &notify)
    {
        const auto to = std::stoul(notify.to.text().substr(1));
        post(
            to,
            [this, from, to, notification = notify.notification] {
                m_daemons[to].dispatcher->notificationReceived(daemonName(from), notification, now);
                post(
                    from, [this, from, to, notification] { m_daemons[from].dispatcher->notificationAcknowledged(daemonName(to), notification.fingerprint); },
                    [] {}, true);
            },
            [] {}, true);
    }

    void performRequestSuspects(std::size_t from, const RequestSuspects &ask)
    {
        const auto to = std::stoul(ask.to.text().substr(1));
        const auto answer = [this, from, to] {
            const auto suspects = m_daemons[to].dispatcher->suspectsRequested(daemonName(from));
            const auto take = [this, from, to, suspects] {
                m_daemons[from].dispatcher->suspectsReceived(daemonName(to), suspects, now);
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
                RetryBudgetOptions().reserve * static_cast<double>(windows + 1) + RetryBudgetOptions().retryRatio * static_cast<double>(it.successes);
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
    unsigned m_extraPoisonLosses = 0;
};

} // namespace turmericplank::requests::fake

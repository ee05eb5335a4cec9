#pragma once

#include <memory>
#include <string>
#include <vector>

#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/configuration/storedriver.hpp"

#include "fakestore.hpp"
#include "oracle.hpp"

namespace turmericplank::configuration {

/// @brief Daemons and operators that share one fake store, in virtual time.
class FakeCluster
{
public:
    struct Options
    {
        int daemons = 3;
        int cellSize = 8; ///< number of daemons that exchange notices
        unsigned seed = 1;
        ActivationOptions activation;
        WriteRules rules;
        base::Duration activationDelay = std::chrono::seconds(5);
        base::Duration noticeInterval = std::chrono::milliseconds(500);
        bool checksAdmission = true; ///< whether the oracle checks every admission
    };

    struct Daemon
    {
        base::DaemonId id;
        std::unique_ptr<Activation> activation; ///< null while the process is down
        int incarnation = 0;
        bool isPaused = false;
        bool isCutFromStore = false;
        bool isCutFromPeers = false;
        base::Revision highestNotified; ///< newest revision that the daemon was notified of
        base::Time switchedAt;
        std::vector<std::function<void()>> backlog; ///< events received while the process was paused
    };

    /// @brief State of one operator.
    struct Operator
    {
        Draft draft; ///< the draft as last read
        int responses = 0;
        int confirmed = 0; ///< number of responses that reported success
    };

    explicit FakeCluster(Options clusterOptions)
        : options(std::move(clusterOptions))
        , random(options.seed)
        , store(queue, random)
        , daemons(static_cast<std::size_t>(options.daemons))
    {
        store.onWritten = [this](const auto &before, const auto &after) {
            oracle.written(before, after, queue.now());
        };
        for (std::size_t n = 0; n < daemons.size(); ++n) {
            daemons[n].id = base::DaemonId("d-" + std::to_string(n));
            start(n);
            queue.after(options.noticeInterval * static_cast<int>(n % 8) / 8, [this, n] { notifyPeriodically(n); });
        }
    }

    /// @brief Installs a document as the accepted revision 1.
    void seed(const Document &document)
    {
        const auto sections = splitDocument(document, knownObjects);
        const auto digest = documentObject(sections);
        knownObjects.emplace(digest.digest, digest.bytes);
        for (const auto &[name, bytes] : knownObjects) {
            store.objects[objectStoreKey(name)] = bytes;
        }
        Draft draft;
        for (const auto &[section, value] : sections) {
            draft.sections[section] = {1, value, "seed"};
        }
        const PointerEntry entry{base::Revision(1), digest.digest, queue.now(), sections};
        oracle.accepted[entry.revision] = entry;
        store.rows[std::string(PointerKey)] = {std::string(PointerKey), base::RowVersion(1), encodePointer({{entry}})};
        store.rows[std::string(DraftKey)] = {std::string(DraftKey), base::RowVersion(1), encodeDraft(draft)};
    }

    void run(base::Duration duration)
    {
        queue.runUntil(queue.now() + duration);
    }

    void start(std::size_t n)
    {
        auto &daemon = daemons[n];
        if (daemon.activation == nullptr) {
            daemon.incarnation += 1;
            daemon.highestNotified = {};
            daemon.isPaused = false;
            auto activationOptions = options.activation;
            activationOptions.readDelay = std::chrono::milliseconds(40) * static_cast<int>(n % 8);
            daemon.activation = std::make_unique<Activation>(activationOptions, queue.now());
            handle(n, Tick());
        }
    }

    void stop(std::size_t n)
    {
        daemons[n].activation.reset();
        daemons[n].backlog.clear();
    }

    void pause(std::size_t n)
    {
        daemons[n].isPaused = true;
    }

    void resume(std::size_t n)
    {
        auto &daemon = daemons[n];
        daemon.isPaused = false;
        for (const auto &it : std::exchange(daemon.backlog, {})) {
            it();
        }
    }

    /// @brief The operator reads the current draft.
    void readDraft(Operator &it) const
    {
        it.draft = Oracle::draftOf(store.rows);
    }

    /// @brief The operator submits an edit based on the draft as last read.
    /// @return token of the request
    std::string edit(Operator &user, Section section, const std::string &text, base::Duration timeout = std::chrono::seconds(10))
    {
        const auto token = nextToken();
        oracle.requests[token].baseRevision = user.draft.revisionOf(section);
        EditRequest request{section, text, user.draft.revisionOf(section), "operator", token, queue.now() + timeout};
        const auto operation = std::make_shared<Edit>(request, lookup(), options.rules);
        runOperation<Edit>(driver(), operation, request.deadline, [this, token, &user](const Edit &done) { operationFinished(token, done.result(), user); });
        return token;
    }

    /// @brief The operator accepts the draft as last read.
    /// @return token of the request
    std::string accept(Operator &user, base::Duration timeout = std::chrono::seconds(15))
    {
        const auto token = nextToken();
        const auto digest = documentObject(user.draft.digests()).digest;
        oracle.requests[token].expectedDigest = digest;
        AcceptRequest request{digest, token, options.activationDelay, queue.now() + timeout};
        const auto operation = std::make_shared<Accept>(request, lookup(), options.rules);
        runOperation<Accept>(driver(), operation, request.deadline, [this, token, &user](const Accept &done) {
            operationFinished(token, done.result(), user);
            if (const auto *pointer = done.pointer()) {
                notifyServingDaemon(*pointer);
            }
        });
        return token;
    }

    /// @brief Whether a daemon admits a request now. The oracle checks the revision.
    Admission admit(std::size_t n)
    {
        auto &daemon = daemons[n];
        if (daemon.activation == nullptr || daemon.isPaused) {
            return Admission::Starting;
        }
        handle(n, Tick());
        const auto admission = daemon.activation->admission(queue.now());
        if (admission == Admission::Serve && options.checksAdmission) {
            const auto revision = daemon.activation->inForce().revision;
            oracle.admitted(revision, daemon.highestNotified, queue.now());
            lastFault = hasFault() ? queue.now() : lastFault;
            if (queue.now() - lastFault >= Oracle::MaxActivationTime) {
                oracle.admittedHealthy(revision, queue.now());
            }
        }
        return admission;
    }

    bool hasFault() const
    {
        const auto isCut = [](const Daemon &it) {
            return it.isCutFromStore || it.isPaused;
        };
        return store.isDown || std::any_of(daemons.begin(), daemons.end(), isCut);
    }

    void handle(std::size_t n, const ActivationEvent &event)
    {
        auto &daemon = daemons[n];
        for (const auto &it : daemon.activation->handle(event, queue.now())) {
            std::visit([this, n](const auto &action) { execute(n, action); }, it);
        }
        const auto deadline = daemon.activation->nextDeadline();
        queue.at(std::max(deadline, queue.now() + std::chrono::milliseconds(1)), forCurrentProcess(n, [this, n] {
                     if (daemons[n].activation->nextDeadline() <= queue.now()) {
                         handle(n, Tick());
                     }
                 }));
    }

    Options options;
    EventQueue queue;
    std::mt19937_64 random;
    FakeStore store;
    Oracle oracle;
    std::vector<Daemon> daemons;
    ObjectCache knownObjects; ///< objects held by the daemon that serves the operators
    double noticeLoss = 0; ///< probability that a notice is lost
    base::Time lastFault; ///< when a fault last began or ended
    std::function<void(std::size_t n, const SwitchRevision &)> onSwitched;
    std::uint64_t noticeBytes = 0;

private:
    static constexpr std::uint64_t NoticeSize = 48; ///< bytes of a notice including its frame

    std::string nextToken()
    {
        m_tokens += 1;
        return "t-" + std::to_string(m_tokens);
    }

    ObjectLookup lookup()
    {
        return [this](const std::string &digest) -> const std::string * {
            const auto found = knownObjects.find(digest);
            return found == knownObjects.end() ? nullptr : &found->second;
        };
    }

    StoreDriverOptions driver()
    {
        return {store.table(), store.objectStore(), [this](base::Time time, auto callback) { queue.at(time, std::move(callback)); },
                [this] { return queue.now(); },
                [this](const std::string &name, const std::string &bytes) {
                    knownObjects.insert_or_assign(name, bytes);
                }};
    }

    /// The daemon that executed an acceptance learns of it first.
    void notifyServingDaemon(const Pointer &pointer)
    {
        if (daemons[0].activation != nullptr) {
            deliver(0, LocallyAccepted{pointer, knownObjects});
        }
    }

    template<typename Result>
    void operationFinished(const std::string &token, const Result &result, Operator &user)
    {
        bool isConfirmed = result.has_value();
        bool isInconclusive = false;
        if (!result) {
            const auto *failure = std::get_if<StoreFailure>(&result.error());
            isInconclusive = failure != nullptr && *failure == StoreFailure::OutcomeUnknown;
        }
        if constexpr (std::is_same_v<Result, AcceptResult>) {
            // Nothing was written for this request if the document was already accepted.
            isInconclusive = isInconclusive || (result && !result->isNew);
        } else {
            isInconclusive = isInconclusive || (result && oracle.requests[token].timesApplied == 0 && result->revision == oracle.requests[token].baseRevision);
        }
        oracle.answered(token, isConfirmed, isInconclusive);
        user.responses += 1;
        user.confirmed += isConfirmed ? 1 : 0;
    }

    /// Wraps a callback for the current process: it is dropped if the process has stopped and deferred while it is paused.
    std::function<void()> forCurrentProcess(std::size_t n, std::function<void()> callback)
    {
        return [this, n, callback = std::move(callback), incarnation = daemons[n].incarnation] {
            auto &daemon = daemons[n];
            if (daemon.activation == nullptr || daemon.incarnation != incarnation) {
                return;
            }
            if (daemon.isPaused) {
                daemon.backlog.push_back(callback);
            } else {
                callback();
            }
        };
    }

    void deliver(std::size_t n, ActivationEvent event)
    {
        forCurrentProcess(n, [this, n, event] {
            if (const auto *read = std::get_if<PointerRead>(&event); read != nullptr && read->pointer && *read->pointer) {
                daemons[n].highestNotified = std::max(daemons[n].highestNotified, (**read->pointer).highest());
            } else if (const auto *accepted = std::get_if<LocallyAccepted>(&event)) {
                daemons[n].highestNotified = std::max(daemons[n].highestNotified, accepted->pointer.highest());
            } else if (const auto *noticed = std::get_if<NoticeReceived>(&event)) {
                daemons[n].highestNotified = std::max(daemons[n].highestNotified, noticed->notice.highest);
            }
            handle(n, event);
        })();
    }

    base::Duration networkDelay()
    {
        return std::chrono::microseconds(std::uniform_int_distribution<int>(500, 5000)(random));
    }

    bool areConnected(std::size_t a, std::size_t b) const
    {
        const auto cell = static_cast<std::size_t>(options.cellSize);
        const auto areUp = daemons[a].activation != nullptr && daemons[b].activation != nullptr;
        return areUp && a / cell == b / cell && !daemons[a].isCutFromPeers && !daemons[b].isCutFromPeers;
    }

    void sendNotice(std::size_t from, const RevisionNotice &notice)
    {
        const auto cell = static_cast<std::size_t>(options.cellSize);
        const auto first = from / cell * cell;
        for (auto to = first; to < std::min(first + cell, daemons.size()); ++to) {
            if (to == from || !areConnected(from, to) || std::uniform_real_distribution<>()(random) < noticeLoss) {
                continue;
            }
            noticeBytes += NoticeSize;
            queue.after(networkDelay(), [this, from, to, notice] { deliver(to, NoticeReceived{daemons[from].id, notice}); });
        }
    }

    void notifyPeriodically(std::size_t n)
    {
        if (daemons[n].activation != nullptr && !daemons[n].isPaused) {
            sendNotice(n, daemons[n].activation->notice());
        }
        queue.after(options.noticeInterval, [this, n] { notifyPeriodically(n); });
    }

    std::size_t indexOf(const base::DaemonId &id) const
    {
        return std::stoul(id.text().substr(2));
    }

    void execute(std::size_t n, const ReadPointer &action)
    {
        const auto onRead = [this, n, read = action.read, reply = replyToCurrentProcess(n)](const store::ReadResult &rows) {
            PointerRead event{read, tl::unexpected(store::TableFailure::Unavailable)};
            if (rows && !daemons[n].isCutFromStore) {
                event.pointer = rows->empty() ? std::nullopt : decodePointer(rows->front().value);
                reply(PeersListed{options.daemons > 1 && options.cellSize > 1}); // a daemon that reads the table also learns whether it has peers
            }
            reply(event);
        };
        store.table().readPrefix(std::string(PointerKey), onRead);
    }

    void execute(std::size_t n, const RequestPointer &action)
    {
        const auto peer = indexOf(action.peer);
        queue.after(networkDelay(), [this, n, peer, reply = replyToCurrentProcess(n)] {
            PeerPointerReceived event{daemons[peer].id, std::nullopt};
            if (areConnected(n, peer) && !daemons[peer].isPaused) {
                event.pointer = daemons[peer].activation->pointer();
            }
            queue.after(networkDelay(), [reply, event] { reply(event); });
        });
    }

    void execute(std::size_t n, const RequestObjects &action)
    {
        if (!action.peer) {
            fetchObjects(store.objectStore(), action.names, [this, n, reply = replyToCurrentProcess(n)](const auto &result) {
                reply(ObjectsReceived{std::nullopt, result && !daemons[n].isCutFromStore ? *result : ObjectCache()});
            });
            return;
        }
        const auto peer = indexOf(*action.peer);
        queue.after(networkDelay(), [this, n, peer, names = action.names, reply = replyToCurrentProcess(n)] {
            ObjectsReceived event{daemons[peer].id, {}};
            for (const auto &it : names) {
                const auto *bytes = areConnected(n, peer) && !daemons[peer].isPaused ? daemons[peer].activation->object(it) : nullptr;
                if (bytes != nullptr) {
                    event.objects.emplace(it, *bytes);
                }
            }
            queue.after(networkDelay(), [reply, event] { reply(event); });
        });
    }

    void execute(std::size_t n, const SwitchRevision &action)
    {
        oracle.switched(m_servedRevisions[{n, daemons[n].incarnation}], action.inForce);
        m_servedRevisions[{n, daemons[n].incarnation}] = action.inForce.revision;
        daemons[n].switchedAt = queue.now();
        if (onSwitched) {
            onSwitched(n, action);
        }
    }

    void execute(std::size_t n, const NotifyPeers &action)
    {
        sendNotice(n, action.notice);
    }

    /// Returns a callback that delivers a response only to the process that sent the request.
    std::function<void(ActivationEvent)> replyToCurrentProcess(std::size_t n)
    {
        return [this, n, incarnation = daemons[n].incarnation](const ActivationEvent &event) {
            if (daemons[n].incarnation == incarnation) {
                deliver(n, event);
            }
        };
    }

    std::uint64_t m_tokens = 0;
    std::map<std::pair<std::size_t, int>, base::Revision> m_servedRevisions;
};

} // namespace turmericplank::configuration

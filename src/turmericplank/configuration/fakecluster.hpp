#pragma once

#include <memory>
#include <string>
#include <vector>

#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/configuration/storedriver.hpp"

#include "fakestore.hpp"
#include "oracle.hpp"

namespace turmericplank::configuration {

/// @brief Daemons with their activation and operators, before one fake store, in virtual time.
class FakeCluster
{
public:
    struct Options
    {
        int daemons = 3;
        int cellSize = 8; ///< daemons that exchange notices
        unsigned seed = 1;
        ActivationOptions activation;
        WriteRules rules;
        base::Duration lead = std::chrono::seconds(5);
        base::Duration noticeInterval = std::chrono::milliseconds(500);
        bool checksAdmission = true;
    };

    struct Daemon
    {
        base::DaemonId id;
        std::unique_ptr<Activation> activation; ///< none while the process is down
        int incarnation = 0;
        bool isPaused = false;
        bool isCutFromStore = false;
        bool isCutFromPeers = false;
        base::Revision heardOf; ///< newest revision that was told to it
        base::Time switchedAt;
        std::vector<std::function<void()>> backlog; ///< what came while it was paused
    };

    /// @brief What an operator saw last.
    struct Operator
    {
        Draft seen;
        int results = 0;
        int granted = 0;
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
            queue.after(options.noticeInterval * static_cast<int>(n % 8) / 8, [this, n] { notifyRegularly(n); });
        }
    }

    /// @brief Accepts a document at once, as it stood before the test.
    void seed(const Document &document)
    {
        const auto sections = splitDocument(document, held);
        const auto digest = documentObject(sections);
        held.emplace(digest.digest, digest.bytes);
        for (const auto &[name, bytes] : held) {
            store.objects[storedName(name)] = bytes;
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
            daemon.heardOf = {};
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

    /// @brief The operator looks at the draft as it stands.
    void readDraft(Operator &it) const
    {
        it.seen = Oracle::draftOf(store.rows);
    }

    std::string edit(Operator &who, Section section, const std::string &text, base::Duration patience = std::chrono::seconds(10))
    {
        const auto token = nextToken();
        oracle.wishes[token].seenRevision = who.seen.revisionOf(section);
        EditRequest request{section, text, who.seen.revisionOf(section), "operator", token, queue.now() + patience};
        const auto operation = std::make_shared<Edit>(request, lookup(), options.rules);
        runOperation<Edit>(driver(), operation, request.deadline, [this, token, &who](const Edit &done) { ended(token, done.result(), who); });
        return token;
    }

    std::string accept(Operator &who, base::Duration patience = std::chrono::seconds(15))
    {
        const auto token = nextToken();
        const auto digest = documentObject(who.seen.digests()).digest;
        oracle.wishes[token].seenDigest = digest;
        AcceptRequest request{digest, token, options.lead, queue.now() + patience};
        const auto operation = std::make_shared<Accept>(request, lookup(), options.rules);
        runOperation<Accept>(driver(), operation, request.deadline, [this, token, &who](const Accept &done) {
            ended(token, done.result(), who);
            if (const auto *pointer = done.pointer()) {
                tellServingDaemon(*pointer);
            }
        });
        return token;
    }

    /// @brief Whether a daemon would admit a request now; the oracle checks the revision.
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
            oracle.admitted(revision, daemon.heardOf, queue.now());
            lastFault = hasFault() ? queue.now() : lastFault;
            if (queue.now() - lastFault >= Oracle::LongestActivation) {
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
            std::visit([this, n](const auto &action) { carryOut(n, action); }, it);
        }
        const auto deadline = daemon.activation->nextDeadline();
        queue.at(std::max(deadline, queue.now() + std::chrono::milliseconds(1)), guarded(n, [this, n] {
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
    ObjectCache held; ///< objects that the daemon which serves the operators holds
    double noticeLoss = 0;
    base::Time lastFault; ///< when a fault last began or ended
    std::function<void(std::size_t n, const SwitchRevision &)> onSwitched;
    std::uint64_t noticeBytes = 0;

private:
    static constexpr std::uint64_t NoticeSize = 48; ///< bytes of a notice with its frame

    std::string nextToken()
    {
        m_tokens += 1;
        return "t-" + std::to_string(m_tokens);
    }

    ObjectLookup lookup()
    {
        return [this](const std::string &digest) -> const std::string * {
            const auto found = held.find(digest);
            return found == held.end() ? nullptr : &found->second;
        };
    }

    StoreDriverOptions driver()
    {
        return {store.table(), store.objectStore(), [this](base::Time time, auto hook) { queue.at(time, std::move(hook)); }, [this] { return queue.now(); },
                [this](const std::string &name, const std::string &bytes) {
                    held.insert_or_assign(name, bytes);
                }};
    }

    /// The daemon that carried out an acceptance knows its outcome first.
    void tellServingDaemon(const Pointer &pointer)
    {
        if (daemons[0].activation != nullptr) {
            deliver(0, LocallyAccepted{pointer, held});
        }
    }

    template<typename Result>
    void ended(const std::string &token, const Result &result, Operator &who)
    {
        bool isGranted = result.has_value();
        bool isUnsettled = false;
        if (!result) {
            const auto *failure = std::get_if<StoreFailure>(&result.error());
            isUnsettled = failure != nullptr && *failure == StoreFailure::OutcomeUnknown;
        }
        if constexpr (std::is_same_v<Result, AcceptResult>) {
            // The document was in force already; nothing was written for this request.
            isUnsettled = isUnsettled || (result && !result->isNew);
        } else {
            isUnsettled = isUnsettled || (result && oracle.wishes[token].effects == 0 && result->revision == oracle.wishes[token].seenRevision);
        }
        oracle.answered(token, isGranted, isUnsettled);
        who.results += 1;
        who.granted += isGranted ? 1 : 0;
    }

    /// Drops what is meant for an earlier process and keeps what comes while the process stands still.
    std::function<void()> guarded(std::size_t n, std::function<void()> call)
    {
        return [this, n, call = std::move(call), incarnation = daemons[n].incarnation] {
            auto &daemon = daemons[n];
            if (daemon.activation == nullptr || daemon.incarnation != incarnation) {
                return;
            }
            if (daemon.isPaused) {
                daemon.backlog.push_back(call);
            } else {
                call();
            }
        };
    }

    void deliver(std::size_t n, ActivationEvent event)
    {
        guarded(n, [this, n, event] {
            if (const auto *read = std::get_if<PointerRead>(&event); read != nullptr && read->pointer && *read->pointer) {
                daemons[n].heardOf = std::max(daemons[n].heardOf, (**read->pointer).highest());
            } else if (const auto *accepted = std::get_if<LocallyAccepted>(&event)) {
                daemons[n].heardOf = std::max(daemons[n].heardOf, accepted->pointer.highest());
            } else if (const auto *noticed = std::get_if<NoticeReceived>(&event)) {
                daemons[n].heardOf = std::max(daemons[n].heardOf, noticed->notice.highest);
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

    void notifyRegularly(std::size_t n)
    {
        if (daemons[n].activation != nullptr && !daemons[n].isPaused) {
            sendNotice(n, daemons[n].activation->notice());
        }
        queue.after(options.noticeInterval, [this, n] { notifyRegularly(n); });
    }

    std::size_t indexOf(const base::DaemonId &id) const
    {
        return std::stoul(id.text().substr(2));
    }

    void carryOut(std::size_t n, const ReadPointer &action)
    {
        const auto answer = [this, n, read = action.read, back = guardedAnswer(n)](const store::ReadResult &rows) {
            PointerRead event{read, tl::unexpected(store::TableFailure::Unavailable)};
            if (rows && !daemons[n].isCutFromStore) {
                event.pointer = rows->empty() ? std::nullopt : decodePointer(rows->front().value);
                back(PeersListed{options.daemons > 1 && options.cellSize > 1}); // the table lists the cell's daemons too
            }
            back(event);
        };
        store.table().readPrefix(std::string(PointerKey), answer);
    }

    void carryOut(std::size_t n, const RequestPointer &action)
    {
        const auto peer = indexOf(action.peer);
        queue.after(networkDelay(), [this, n, peer, back = guardedAnswer(n)] {
            PeerPointerReceived event{daemons[peer].id, std::nullopt};
            if (areConnected(n, peer) && !daemons[peer].isPaused) {
                event.pointer = daemons[peer].activation->pointer();
            }
            queue.after(networkDelay(), [back, event] { back(event); });
        });
    }

    void carryOut(std::size_t n, const RequestObjects &action)
    {
        if (!action.peer) {
            fetchObjects(store.objectStore(), action.names, [this, n, back = guardedAnswer(n)](const auto &result) {
                back(ObjectsReceived{std::nullopt, result && !daemons[n].isCutFromStore ? *result : ObjectCache()});
            });
            return;
        }
        const auto peer = indexOf(*action.peer);
        queue.after(networkDelay(), [this, n, peer, names = action.names, back = guardedAnswer(n)] {
            ObjectsReceived event{daemons[peer].id, {}};
            for (const auto &it : names) {
                const auto *bytes = areConnected(n, peer) && !daemons[peer].isPaused ? daemons[peer].activation->object(it) : nullptr;
                if (bytes != nullptr) {
                    event.objects.emplace(it, *bytes);
                }
            }
            queue.after(networkDelay(), [back, event] { back(event); });
        });
    }

    void carryOut(std::size_t n, const SwitchRevision &action)
    {
        oracle.switched(m_served[{n, daemons[n].incarnation}], action.inForce);
        m_served[{n, daemons[n].incarnation}] = action.inForce.revision;
        daemons[n].switchedAt = queue.now();
        if (onSwitched) {
            onSwitched(n, action);
        }
    }

    void carryOut(std::size_t n, const NotifyPeers &action)
    {
        sendNotice(n, action.notice);
    }

    /// An answer belongs to the process that asked.
    std::function<void(ActivationEvent)> guardedAnswer(std::size_t n)
    {
        return [this, n, incarnation = daemons[n].incarnation](const ActivationEvent &event) {
            if (daemons[n].incarnation == incarnation) {
                deliver(n, event);
            }
        };
    }

    std::uint64_t m_tokens = 0;
    std::map<std::pair<std::size_t, int>, base::Revision> m_served;
};

} // namespace turmericplank::configuration

#include "turmericplank/daemon/configurationshell.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "turmericplank/base/digest.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/decisionlog.hpp"

#include "configurationmessages.hpp"

namespace turmericplank::daemon {

namespace {

using configuration::ObjectCache;
using telemetry::LogLevel;

/// Interval of periodic notices. Changes are sent at once and heartbeats carry the revision too, so these only refresh the other fields.
constexpr auto NoticeInterval = std::chrono::seconds(5);
constexpr auto RejectionRetryInterval = std::chrono::seconds(1);
constexpr auto PeerCallTimeout = std::chrono::milliseconds(800);
constexpr base::Duration ReadDelayStep = std::chrono::milliseconds(40);
constexpr std::uint64_t ReadDelaySteps = 8;
constexpr base::Duration LeadMargin = std::chrono::milliseconds(800); ///< the maximum read delay and a reserve
constexpr base::Duration MaxLead = std::chrono::seconds(5);
constexpr std::size_t MaxCachedBytes = 16 * 1024 * 1024;
const std::string noticeKind = "configuration/notice";
const std::string pointerKind = "configuration/pointer";
const std::string objectsKind = "configuration/objects";

configuration::PointerRead toPointerRead(std::uint64_t read, const store::ReadResult &rows)
{
    configuration::PointerRead event{read, tl::unexpected(store::TableFailure::Unavailable)};
    if (!rows) {
        return event;
    }
    const auto row = std::find_if(rows->begin(), rows->end(), [](const auto &it) { return it.key == configuration::PointerKey; });
    if (row == rows->end()) {
        event.pointer = std::optional<configuration::Pointer>();
    } else if (auto pointer = configuration::decodePointer(row->value)) {
        event.pointer = std::move(pointer);
    } else {
        telemetry::log(LogLevel::Error, "configuration", "pointer row is malformed", {{"version", row->version.value()}});
    }
    return event;
}

/// Delays the reads of the pointer by 0 to 280 ms, depending on the daemon's id, so that usually the first daemon reads it and notifies
/// the others.
configuration::ActivationOptions withReadDelay(configuration::ActivationOptions options, const base::DaemonId &id)
{
    options.readDelay = ReadDelayStep * (base::fingerprint(id.text()) % ReadDelaySteps);
    return options;
}

ObjectCache toCache(const std::string &bytes)
{
    ObjectCache cache;
    for (auto &it : configuration::decodeObjects(bytes)) {
        cache.emplace(std::move(it.digest), std::move(it.bytes));
    }
    return cache;
}

} // namespace

std::string_view toString(configuration::Admission admission)
{
    switch (admission) {
    case configuration::Admission::Serve:
        return "serving";
    case configuration::Admission::Starting:
        return "starting";
    case configuration::Admission::Late:
        return "late";
    case configuration::Admission::Isolated:
        return "isolated";
    }
    return "starting";
}

ConfigurationShell::ConfigurationShell(Environment &environment, ConfigurationShellHooks hooks)
    : m_environment(environment)
    , m_hooks(std::move(hooks))
    , m_activation(withReadDelay(m_hooks.activation, environment.settings.id), base::now())
    , m_timer(environment.context)
{
    addPeerHandlers();
    callEvery(environment.context, NoticeInterval, [this] { notifyPeers(); });
    boost::asio::post(environment.context, [this] { handle(configuration::Tick()); });
}

const configuration::ActiveConfiguration &ConfigurationShell::inForce() const
{
    return m_activation.inForce();
}

configuration::Admission ConfigurationShell::admission()
{
    if (m_activation.nextDeadline() <= base::now()) {
        handle(configuration::Tick());
    }
    const auto admission = m_activation.admission(base::now());
    logAdmission(admission);
    return admission;
}

std::optional<ErrorBody> ConfigurationShell::rejection()
{
    const auto retryAt = base::now() + RejectionRetryInterval;
    switch (admission()) {
    case configuration::Admission::Serve:
        return std::nullopt;
    case configuration::Admission::Starting:
        return ErrorBody{503, "not_configured", base::Outcome::NotRun, "no configuration is in force here", retryAt};
    case configuration::Admission::Late:
        return ErrorBody{503, "configuration_late", base::Outcome::NotRun, "this daemon is still fetching the configuration that is in force", retryAt};
    case configuration::Admission::Isolated:
        return ErrorBody{503, "isolated", base::Outcome::NotRun, "this daemon receives nothing from the platform or other daemons", retryAt};
    }
    return std::nullopt;
}

void ConfigurationShell::onActivated(ActivatedHook hook)
{
    if (inForce().document != nullptr) {
        hook(inForce());
    }
    m_onActivated.push_back(std::move(hook));
}

void ConfigurationShell::noteRevision(const base::DaemonId &peer, base::Revision revision)
{
    if (revision > m_activation.pointer().highest()) {
        perform(configuration::RequestPointer{peer});
    }
}

configuration::RevisionNotice ConfigurationShell::notice() const
{
    return m_activation.notice();
}

const std::map<base::DaemonId, PeerRevision> &ConfigurationShell::peerRevisions() const
{
    return m_peerRevisions;
}

const configuration::Pointer &ConfigurationShell::pointer() const
{
    return m_activation.pointer();
}

void ConfigurationShell::noteAccepted(const configuration::Pointer &pointer)
{
    handle(configuration::LocallyAccepted{pointer, m_cachedObjects});
}

base::Duration ConfigurationShell::activationLead() const
{
    // One store latency each for the write, the read that finds it and the fetch; reads start once per poll interval.
    const auto needed = m_hooks.activation.pollInterval + 3 * m_storeLatency + LeadMargin;
    return std::min(needed, MaxLead);
}

configuration::StoreDriverOptions ConfigurationShell::storeDriverOptions()
{
    return {m_environment.table, m_environment.objects,
            [this](base::Time deadline, std::function<void()> hook) { callAt(m_environment.context, deadline, std::move(hook)); }, &base::now,
            [this](const std::string &name, const std::string &bytes) {
                cacheObject(name, bytes);
            }};
}

configuration::ObjectLookup ConfigurationShell::objectLookup() const
{
    return [this](const std::string &digest) {
        return findObject(digest);
    };
}

void ConfigurationShell::handle(const configuration::ActivationEvent &event)
{
    const auto actions = m_activation.handle(event, base::now());
    for (const auto &it : actions) {
        std::visit([this](const auto &action) { perform(action); }, it);
    }
    schedule();
}

void ConfigurationShell::schedule()
{
    m_timer.expires_after(std::max(m_activation.nextDeadline() - base::now(), base::Duration(std::chrono::milliseconds(1))));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            handle(configuration::Tick());
        }
    });
}

void ConfigurationShell::perform(const configuration::ReadPointer &action)
{
    m_environment.table.readPrefix(std::string(configuration::PointerKey),
                                   [this, read = action.read](const store::ReadResult &rows) { handle(toPointerRead(read, rows)); });
}

void ConfigurationShell::perform(const configuration::RequestPointer &action)
{
    callPeer(action.peer, pointerKind, {}, [this, peer = action.peer](bool isComplete, const std::string &answer) {
        handle(configuration::PeerPointerReceived{peer, isComplete ? configuration::decodePointer(answer) : std::nullopt});
    });
}

void ConfigurationShell::perform(const configuration::RequestObjects &action)
{
    if (action.peer) {
        callPeer(*action.peer, objectsKind, encodeNames(action.names), [this, peer = *action.peer](bool isComplete, const std::string &answer) {
            handle(configuration::ObjectsReceived{peer, isComplete ? toCache(answer) : ObjectCache()});
        });
        return;
    }
    configuration::fetchObjects(m_environment.objects, action.names, [this](const auto &result) {
        handle(configuration::ObjectsReceived{std::nullopt, result ? *result : ObjectCache()});
    });
}

void ConfigurationShell::perform(const configuration::SwitchRevision &action)
{
    telemetry::logDecision("configuration", action.isLate ? "revision in force, late" : "revision in force",
                           {{"revision", action.inForce.revision.value()}, {"digest", action.inForce.digest}});
    m_environment.metrics.setGauge("configuration_revision", static_cast<double>(action.inForce.revision.value()));
    m_environment.metrics.count(action.isLate ? "configuration_late_switches_total" : "configuration_switches_total");
    for (const auto &it : m_onActivated) {
        it(action.inForce);
    }
}

void ConfigurationShell::perform(const configuration::NotifyPeers &)
{
    // The remaining actions may change the notice, so it is sent once after all of them.
    if (!std::exchange(m_isNoticePending, true)) {
        boost::asio::post(m_environment.context, [this] {
            m_isNoticePending = false;
            notifyPeers();
        });
    }
}

void ConfigurationShell::notifyPeers()
{
    const auto body = encodeNotice({m_activation.notice(), m_environment.settings.peerListen});
    for (const auto &it : m_hooks.peers()) {
        peer::PeerCall call;
        call.kind = noticeKind;
        call.body = body;
        call.timeout = PeerCallTimeout;
        call.onChunk = [](std::string_view) {
        };
        call.onEnd = [](const auto &) {
        };
        m_environment.peers.call(it.address, std::move(call));
    }
}

void ConfigurationShell::callPeer(const base::DaemonId &peer, const std::string &kind, std::string body,
                                  std::function<void(bool isComplete, std::string answer)> onDone)
{
    const auto address = addressOf(peer);
    if (!address) {
        boost::asio::post(m_environment.context, [onDone = std::move(onDone)] { onDone(false, {}); });
        return;
    }
    const auto answer = std::make_shared<std::string>();
    peer::PeerCall call;
    call.kind = kind;
    call.body = std::move(body);
    call.timeout = PeerCallTimeout;
    call.onChunk = [answer](std::string_view piece) {
        answer->append(piece);
    };
    call.onEnd = [answer, onDone = std::move(onDone)](const auto &result) {
        onDone(result.has_value(), std::move(*answer));
    };
    m_environment.peers.call(*address, std::move(call));
}

/// While the platform is down, a daemon that has just started knows its peers only from the notices that they send.
std::optional<base::Address> ConfigurationShell::addressOf(const base::DaemonId &peer) const
{
    const auto peers = m_hooks.peers();
    const auto found = std::find_if(peers.begin(), peers.end(), [&peer](const auto &it) { return it.id == peer; });
    if (found != peers.end()) {
        return found->address;
    }
    const auto known = m_peerRevisions.find(peer);
    return known == m_peerRevisions.end() ? std::nullopt : std::optional(known->second.address);
}

void ConfigurationShell::addPeerHandlers()
{
    m_environment.peers.handle(noticeKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        answer.end();
        if (const auto message = decodeNotice(body)) {
            m_peerRevisions[from] = {message->notice, message->sender, base::now()};
            handle(configuration::NoticeReceived{from, message->notice});
        }
    });
    m_environment.peers.handle(pointerKind, [this](const base::DaemonId &, const std::string &, const peer::PeerResponder &answer) {
        answer.write(configuration::encodePointer(m_activation.pointer()));
        answer.end();
    });
    m_environment.peers.handle(objectsKind, [this](const base::DaemonId &, const std::string &body, const peer::PeerResponder &answer) {
        std::vector<configuration::ContentObject> objects;
        for (const auto &it : decodeNames(body).value_or(std::vector<std::string>())) {
            if (const auto *bytes = findObject(it)) {
                objects.push_back({it, *bytes});
            }
        }
        answer.write(configuration::encodeObjects(objects));
        answer.end();
    });
}

void ConfigurationShell::cacheObject(const std::string &name, const std::string &bytes)
{
    if (base::digest(bytes) != name || m_cachedObjects.contains(name)) {
        return;
    }
    if (m_cachedBytes + bytes.size() > MaxCachedBytes) {
        m_cachedObjects.clear();
        m_cachedBytes = 0;
    }
    m_cachedBytes += bytes.size();
    m_cachedObjects.emplace(name, bytes);
}

const std::string *ConfigurationShell::findObject(const std::string &name) const
{
    const auto found = m_cachedObjects.find(name);
    return found != m_cachedObjects.end() ? &found->second : m_activation.object(name);
}

void ConfigurationShell::logAdmission(configuration::Admission admission)
{
    if (admission == m_lastAdmission) {
        return;
    }
    m_lastAdmission = admission;
    const auto level = admission == configuration::Admission::Serve ? LogLevel::Info : LogLevel::Warning;
    telemetry::log(level, "configuration", "admission changed", {{"state", toString(admission)}, {"revision", inForce().revision.value()}});
}

} // namespace turmericplank::daemon

#include "turmericplank/daemon/placementshell.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "placementmessages.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/telemetry/decisionlog.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(200);
constexpr auto DemandInterval = std::chrono::seconds(2);
constexpr auto ProbeInterval = std::chrono::seconds(1);
constexpr auto VmListInterval = std::chrono::seconds(10);
constexpr auto InventoryTimeout = std::chrono::seconds(5); ///< an endpoint without an inventory for this long is treated as lost
constexpr auto CallTimeout = std::chrono::seconds(2);
constexpr auto DemandKind = "placement/demand";

placement::ControllerOptions controllerOptions(const Environment &environment, const PlacementShellOptions &options,
                                               const placement::DemandEstimator &estimator)
{
    placement::ControllerOptions result;
    result.self = environment.settings.id;
    result.cell = environment.settings.cell;
    result.plan = [planner = options.planner](const placement::PlanInput &input) {
        return placement::plan(input, planner);
    };
    result.demand = [&estimator] {
        return estimator.estimate();
    };
    return result;
}

std::string_view stateName(placement::ResidentState state)
{
    switch (state) {
    case placement::ResidentState::Arriving:
        return "arriving";
    case placement::ResidentState::Present:
        return "present";
    case placement::ResidentState::Leaving:
        return "leaving";
    }
    return "present";
}

} // namespace

PlacementShell::PlacementShell(Environment &environment, PlacementShellOptions options)
    : m_environment(environment)
    , m_options(std::move(options))
    , m_estimator(placement::DemandOptions())
    , m_controller(controllerOptions(environment, m_options, m_estimator))
{
    environment.peers.handle(DemandKind, [this](const base::DaemonId &, const std::string &, const peer::PeerResponder &answer) {
        answer.write(encodeDemand(m_options.demand ? m_options.demand() : placement::DemandCounters()));
        answer.end();
    });
    environment.operatorRoutes.add("GET", "/admin/placement", [this](const net::ExchangePointer &exchange) {
        exchange->respond({200, {{"Content-Type", "application/json"}}, status() + '\n'});
    });
    callEvery(environment.context, TickInterval, [this] { tick(); });
}

void PlacementShell::endpointGone(const base::EndpointId &endpoint)
{
    m_controller.endpointGone(endpoint);
}

void PlacementShell::stop()
{
    m_isStopped = true;
}

void PlacementShell::tick()
{
    if (m_isStopped) {
        return;
    }
    const auto now = base::now();
    updateDocument();
    if (!m_document) {
        return;
    }
    updateLiveEndpoints(now);
    readVirtualMachines(now);
    collectDemand(now);
    perform(m_controller.tick(now));
    logLease(now);
}

void PlacementShell::updateDocument()
{
    const auto document = m_options.document ? m_options.document() : nullptr;
    if (!document || document == m_document) {
        return;
    }
    m_document = document;
    for (const auto &[id, endpoint] : document->endpoints) {
        m_addresses[id] = endpoint.address;
    }
    m_controller.setDocument(document);
}

void PlacementShell::updateLiveEndpoints(base::Time now)
{
    std::set<base::EndpointId> live;
    for (const auto &[id, endpoint] : m_document->endpoints) {
        const auto lastInventoryAt = m_lastInventoryAt.try_emplace(id, now).first->second;
        const bool isLive = !m_options.isLive || m_options.isLive(id);
        if (isLive && now < lastInventoryAt + InventoryTimeout) {
            live.insert(id);
        }
    }
    m_controller.setLiveEndpoints(std::move(live));
    if (!m_controller.holdsLease(now) && !m_controller.isWithoutTable()) {
        m_lastInventoryAt.clear();
        return;
    }
    probeSilentEndpoints(now);
}

void PlacementShell::probeSilentEndpoints(base::Time now)
{
    if (now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + ProbeInterval;
    for (const auto &[id, lastInventoryAt] : m_lastInventoryAt) {
        if (now >= lastInventoryAt + InventoryTimeout && m_document->endpoints.contains(id)) {
            fetchInventory(id, [](const std::optional<placement::Inventory> &) {});
        }
    }
}

/// A VM that was listed before and is missing now is gone for good, so the daemon on it can send no further orders.
void PlacementShell::readVirtualMachines(base::Time now)
{
    if (now < m_nextVmList || !m_environment.listVirtualMachines) {
        return;
    }
    m_nextVmList = now + VmListInterval;
    m_environment.listVirtualMachines([this](const tl::expected<std::vector<store::VirtualMachine>, store::TableFailure> &vms) {
        if (!vms) {
            return;
        }
        std::set<std::string> listed;
        for (const auto &it : *vms) {
            listed.insert(it.id);
            m_controller.daemonListed(base::DaemonId(it.id));
        }
        for (const auto &it : m_listedVms) {
            if (!listed.contains(it)) {
                m_controller.daemonGone(base::DaemonId(it));
            }
        }
        m_listedVms = std::move(listed);
    });
}

void PlacementShell::collectDemand(base::Time now)
{
    if (now < m_nextDemand) {
        return;
    }
    m_nextDemand = now + DemandInterval;
    if (!m_controller.holdsLease(now) && !m_controller.isWithoutTable()) {
        return;
    }
    if (m_options.demand) {
        m_estimator.report(m_environment.settings.id, m_options.demand(), now);
    }
    m_estimator.advance(now);
    for (const auto &target : m_options.peers ? m_options.peers() : std::vector<PeerTarget>()) {
        const auto answer = std::make_shared<std::string>();
        peer::PeerCall call;
        call.kind = DemandKind;
        call.onChunk = [answer](std::string_view piece) {
            answer->append(piece);
        };
        call.onEnd = [this, answer, id = target.id](const tl::expected<void, peer::PeerFailure> &result) {
            const auto counters = result ? decodeDemand(*answer) : std::nullopt;
            if (counters) {
                m_estimator.report(id, *counters, base::now());
            }
        };
        m_environment.peers.call(target.address, std::move(call));
    }
}

void PlacementShell::perform(placement::Actions actions)
{
    for (const auto &action : actions) {
        performOne(action);
    }
}

void PlacementShell::performOne(const placement::Action &action)
{
    if (const auto *read = std::get_if<placement::ReadRows>(&action)) {
        m_environment.table.readPrefix(
            read->prefix, [this, purpose = read->purpose](const store::ReadResult &result) { perform(m_controller.rowsRead(base::now(), purpose, result)); });
    } else if (const auto *write = std::get_if<placement::WriteRows>(&action)) {
        m_environment.table.transact(write->rows, [this](const store::WriteResult &result) { perform(m_controller.rowsWritten(base::now(), result)); });
    } else if (const auto *note = std::get_if<placement::WriteAcknowledgement>(&action)) {
        m_environment.table.transact({note->row}, [](const store::WriteResult &) {});
    } else if (const auto *send = std::get_if<placement::SendOrder>(&action)) {
        sendOrder(send->order);
    } else if (const auto *fetch = std::get_if<placement::FetchInventory>(&action)) {
        fetchInventory(fetch->endpoint, [this, id = fetch->endpoint](const std::optional<placement::Inventory> &inventory) {
            perform(m_controller.inventoryFetched(base::now(), id, inventory));
        });
    } else if (const auto *decision = std::get_if<placement::LogDecision>(&action)) {
        const auto &order = decision->order;
        telemetry::logDecision("placement", "chose move",
                               {{"order", order.id},
                                {"kind", placement::toString(order.kind)},
                                {"endpoint", order.endpoint.text()},
                                {"model", order.resident.model.text()},
                                {"version", order.resident.version},
                                {"adapter", order.resident.adapter.text()},
                                {"reason", placement::toString(decision->reason)},
                                {"gain", decision->gain}});
        m_environment.metrics.count("placement_moves_total{kind=\"" + std::string(placement::toString(order.kind)) + "\"}");
    }
}

void PlacementShell::sendOrder(const placement::Order &order)
{
    const auto it = m_addresses.find(order.endpoint);
    if (it == m_addresses.end()) {
        boost::asio::post(m_environment.context, [this, order] { perform(m_controller.orderAnswered(base::now(), order, placement::OrderAnswer::NotSent)); });
        return;
    }
    net::HttpCallOptions options;
    options.to = it->second;
    options.request = {"POST", "/orders", {{"Content-Type", "application/json"}}, orderBody(order)};
    options.byteCounter = &m_environment.pollBytes;
    options.responseHeaderTimeout = CallTimeout;
    options.bodyIdleTimeout = CallTimeout;
    fetchResponse(m_environment.context, std::move(options), [this, order](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
        auto answer = placement::OrderAnswer::Lost;
        if (response) {
            answer = readOrderAnswer(*response);
        } else if (response.error() == net::CallFailure::NotSent) {
            answer = placement::OrderAnswer::NotSent;
        }
        if (answer != placement::OrderAnswer::Running && answer != placement::OrderAnswer::Done) {
            telemetry::log(telemetry::LogLevel::Warning, "placement", "order not executed", {{"order", order.id}, {"answer", static_cast<int>(answer)}});
        }
        perform(m_controller.orderAnswered(base::now(), order, answer));
    });
}

void PlacementShell::fetchInventory(const base::EndpointId &endpoint, std::function<void(std::optional<placement::Inventory>)> onDone)
{
    net::HttpCallOptions options;
    options.to = m_addresses[endpoint];
    options.request = {"GET", "/inventory", {}, {}};
    options.byteCounter = &m_environment.pollBytes;
    options.responseHeaderTimeout = CallTimeout;
    options.bodyIdleTimeout = CallTimeout;
    const auto document = m_document;
    fetchResponse(m_environment.context, std::move(options),
                  [this, endpoint, document, onDone = std::move(onDone)](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
                      const auto inventory = response ? readInventory(*document, response->body) : std::nullopt;
                      if (inventory) {
                          m_lastInventoryAt[endpoint] = base::now();
                      }
                      onDone(inventory);
                  });
}

void PlacementShell::logLease(base::Time now)
{
    const auto term = m_controller.holdsLease(now) ? m_controller.lease().term() : base::Term();
    if (term != m_loggedTerm) {
        telemetry::log(telemetry::LogLevel::Info, "placement", term == base::Term() ? "stopped holding the lease" : "holds the lease",
                       {{"term", term == base::Term() ? m_loggedTerm.value() : term.value()}});
        m_loggedTerm = term;
    }
    const bool isWithoutTable = m_controller.isWithoutTable();
    if (isWithoutTable != m_wasWithoutTable) {
        telemetry::log(telemetry::LogLevel::Warning, "placement", isWithoutTable ? "table is down, only engines that check terms get orders" : "table is back");
        m_wasWithoutTable = isWithoutTable;
    }
    m_environment.metrics.setGauge("placement_holds_lease", m_controller.holdsLease(now) ? 1 : 0);
}

std::string PlacementShell::status() const
{
    const auto now = base::now();
    const auto &lease = m_controller.lease().lastSeenRow();
    nlohmann::json result;
    result["lease"] = {{"holder", lease ? lease->holder.text() : ""},
                       {"term", lease ? lease->term.value() : 0},
                       {"is_holder", m_controller.holdsLease(now)},
                       {"without_table", m_controller.isWithoutTable()}};
    result["revision"] = m_options.revision ? m_options.revision().value() : 0;
    result["replicas"] = nlohmann::json::array();
    for (const auto &view : m_controller.engineSnapshots(now)) {
        for (const auto &[resident, state] : view.residents) {
            result["replicas"].push_back({{"endpoint", view.id.text()},
                                          {"model", resident.model.text()},
                                          {"version", resident.version},
                                          {"adapter", resident.adapter.text()},
                                          {"state", stateName(state)}});
        }
    }
    result["orders"] = nlohmann::json::array();
    for (const auto &order : m_controller.openOrders()) {
        result["orders"].push_back(nlohmann::json::parse(encode(order)));
    }
    return result.dump();
}

} // namespace turmericplank::daemon

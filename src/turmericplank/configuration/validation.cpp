#include "turmericplank/configuration/validation.hpp"

#include <algorithm>

#include "memorypacking.hpp"

namespace turmericplank::configuration {

namespace {

using Refusals = std::vector<ValidationError>;
using Endpoints = std::map<base::EndpointId, Endpoint>;

void checkReferences(const Document &document, Refusals &refusals)
{
    if (document.site.empty()) {
        refusals.push_back({.reason = Reason::MissingSite});
    }
    for (const auto &[name, adapter] : document.adapters) {
        if (!document.models.contains(adapter.model)) {
            refusals.push_back({Reason::UnknownModel, Section::Adapters, name.text(), adapter.model.text()});
        }
        if (document.models.contains(base::ModelName(name.text()))) {
            refusals.push_back({Reason::AmbiguousName, Section::Adapters, name.text(), name.text()});
        }
    }
}

void checkAddress(const base::Address &address, Section section, const std::string &name, std::map<base::Address, std::string> &taken, Refusals &refusals)
{
    const auto [it, isNew] = taken.emplace(address, name);
    if (!isNew) {
        refusals.push_back({Reason::DuplicateAddress, section, name, it->second});
    }
}

void checkAddresses(const Document &document, Refusals &refusals)
{
    std::map<base::Address, std::string> taken;
    std::map<base::EndpointId, std::string> ids;
    for (const auto &[id, endpoint] : document.endpoints) {
        checkAddress(endpoint.address, Section::Endpoints, id.text(), taken, refusals);
        ids.emplace(id, "endpoints");
    }
    for (const auto &[name, service] : document.services) {
        if (service.instances.empty()) {
            refusals.push_back({Reason::NoInstance, Section::Services, name.text()});
        }
        for (const auto &it : service.instances) {
            checkAddress(it.address, Section::Services, it.id.text(), taken, refusals);
            const auto [other, isNew] = ids.emplace(it.id, name.text());
            if (!isNew) {
                refusals.push_back({Reason::DuplicateEndpoint, Section::Services, it.id.text(), other->second});
            }
        }
    }
}

/// Endpoints that answer callers; those that only prefill do not.
Endpoints servingEndpoints(const Endpoints &endpoints)
{
    Endpoints result;
    for (const auto &it : endpoints) {
        if (it.second.role != "prefill") {
            result.insert(it);
        }
    }
    return result;
}

void checkEachModel(const Document &document, const Endpoints &endpoints, Refusals &refusals)
{
    for (const auto &[name, model] : document.models) {
        const auto memory = model.memoryMib;
        const auto fitting = std::count_if(endpoints.begin(), endpoints.end(), [&](const auto &it) { return it.second.memoryMib >= memory; });
        if (fitting == 0) {
            const auto largest = Packing(endpoints).largestGap();
            refusals.push_back({Reason::NoServingEndpoint, Section::Models, name.text(), "", memory, largest});
        } else if (static_cast<std::uint64_t>(fitting) < model.minimumReplicas) {
            refusals.push_back({Reason::TooFewEndpoints, Section::Models, name.text(), "", model.minimumReplicas, static_cast<std::uint64_t>(fitting)});
        }
    }
}

std::vector<Demand> largestFirst(std::vector<Demand> demands)
{
    std::sort(demands.begin(), demands.end(),
              [](const Demand &a, const Demand &b) { return a.memoryMib != b.memoryMib ? a.memoryMib > b.memoryMib : a.model < b.model; });
    return demands;
}

void packModels(Packing &packing, std::vector<Demand> demands, Reason reason, Refusals &refusals)
{
    for (const auto &it : largestFirst(std::move(demands))) {
        const auto placed = packing.place(it);
        if (placed < it.replicas) {
            refusals.push_back({reason, Section::Models, it.model.text(), "", it.memoryMib, packing.largestGap()});
        }
    }
}

void packAdapters(Packing &packing, const Document &document, Reason reason, Refusals &refusals)
{
    std::vector<const Adapter *> adapters;
    for (const auto &it : document.adapters) {
        if (document.models.contains(it.second.model)) {
            adapters.push_back(&it.second);
        }
    }
    std::stable_sort(adapters.begin(), adapters.end(), [](const Adapter *a, const Adapter *b) { return a->memoryMib > b->memoryMib; });
    for (const auto *it : adapters) {
        if (!packing.placeAdapter(*it)) {
            refusals.push_back({reason, Section::Adapters, it->name.text(), it->model.text(), it->memoryMib, packing.largestGap()});
        }
    }
}

std::vector<Demand> floorsOf(const Document &document)
{
    std::vector<Demand> demands;
    for (const auto &[name, model] : document.models) {
        demands.push_back({name, model.memoryMib, model.minimumReplicas});
    }
    return demands;
}

void checkEnd(const Document &next, const Endpoints &endpoints, Refusals &refusals)
{
    Packing packing(endpoints);
    packModels(packing, floorsOf(next), Reason::NoPlaceForModel, refusals);
    packAdapters(packing, next, Reason::NoPlaceForAdapter, refusals);
}

/// What is resident in the middle of a change: models that leave, those that come, and of each that gets other weights
/// one replica more, because the new one is loaded before the old one goes.
std::vector<Demand> demandsDuring(const Document &previous, const Document &next)
{
    auto demands = floorsOf(next);
    for (const auto &[name, old] : previous.models) {
        const auto found = next.models.find(name);
        if (found == next.models.end()) {
            demands.push_back({name, old.memoryMib, old.minimumReplicas});
        } else if (found->second.version != old.version || found->second.memoryMib != old.memoryMib) {
            demands.push_back({base::ModelName(name.text() + " of before"), old.memoryMib, 1});
        }
    }
    return demands;
}

Endpoints keptEndpoints(const Endpoints &before, const Endpoints &after)
{
    Endpoints kept;
    for (const auto &[id, endpoint] : after) {
        const auto old = before.find(id);
        if (old != before.end() && old->second.address == endpoint.address) {
            auto smaller = endpoint;
            smaller.memoryMib = std::min(endpoint.memoryMib, old->second.memoryMib);
            kept.emplace(id, smaller);
        }
    }
    return kept;
}

void checkKept(const Document &previous, const Document &next, const Endpoints &kept, Refusals &refusals)
{
    std::vector<Demand> demands;
    for (const auto &[name, model] : next.models) {
        const auto old = previous.models.find(name);
        if (old != previous.models.end()) {
            demands.push_back({name, old->second.memoryMib, 1});
        }
    }
    Packing packing(kept);
    packModels(packing, std::move(demands), Reason::NoEndpointKept, refusals);
}

void checkChange(const Document &previous, const Document &next, const Endpoints &endpoints, Refusals &refusals)
{
    if (previous.models != next.models || previous.adapters != next.adapters) {
        Packing packing(endpoints);
        packModels(packing, demandsDuring(previous, next), Reason::NoRoomForChange, refusals);
        packAdapters(packing, next, Reason::NoRoomForChange, refusals);
    }
    if (previous.endpoints != next.endpoints) {
        checkKept(previous, next, keptEndpoints(servingEndpoints(previous.endpoints), endpoints), refusals);
    }
}

std::string numbers(const ValidationError &refusal, const std::string &unit)
{
    return std::to_string(refusal.required) + unit + " wanted, " + std::to_string(refusal.available) + unit + " at most";
}

std::string sentence(const ValidationError &refusal)
{
    switch (refusal.reason) {
    case Reason::MissingSite:
        return "the site has no name";
    case Reason::UnknownModel:
        return "model " + refusal.other + " is not in the document";
    case Reason::AmbiguousName:
        return "a model has the same name";
    case Reason::DuplicateAddress:
        return "same address as " + refusal.other;
    case Reason::DuplicateEndpoint:
        return "same id as one of " + refusal.other;
    case Reason::NoInstance:
        return "no instance";
    case Reason::NoServingEndpoint:
        return "larger than every endpoint that serves: " + numbers(refusal, " MiB");
    case Reason::TooFewEndpoints:
        return "not enough endpoints fit it: " + numbers(refusal, "");
    case Reason::NoPlaceForModel:
        return "no place beside the other models: " + numbers(refusal, " MiB");
    case Reason::NoPlaceForAdapter:
        return "no place beside a replica of " + refusal.other + ": " + numbers(refusal, " MiB");
    case Reason::NoRoomForChange:
        return "no place while the change goes on (split it into two): " + numbers(refusal, " MiB");
    case Reason::NoEndpointKept:
        return "no place on the endpoints that stay (replace endpoints in parts): " + numbers(refusal, " MiB");
    }
    return "";
}

} // namespace

std::string toString(const ValidationError &refusal)
{
    auto table = std::string(toString(refusal.section));
    if (!refusal.name.empty()) {
        table += "." + refusal.name;
    }
    return "[" + table + "] " + sentence(refusal);
}

std::vector<ValidationError> validate(const Document &next, const Document *previous)
{
    Refusals refusals;
    const auto endpoints = servingEndpoints(next.endpoints);
    checkReferences(next, refusals);
    checkAddresses(next, refusals);
    checkEachModel(next, endpoints, refusals);
    if (refusals.empty()) {
        checkEnd(next, endpoints, refusals);
    }
    if (refusals.empty() && previous != nullptr) {
        checkChange(*previous, next, endpoints, refusals);
    }
    return refusals;
}

} // namespace turmericplank::configuration

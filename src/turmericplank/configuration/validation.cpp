#include "turmericplank/configuration/validation.hpp"

#include <algorithm>

#include "packing.hpp"

namespace turmericplank::configuration {

namespace {

using ValidationErrors = std::vector<ValidationError>;
using Endpoints = std::map<base::EndpointId, Endpoint>;

void checkReferences(const Document &document, ValidationErrors &errors)
{
    if (document.site.empty()) {
        errors.push_back({.kind = ValidationErrorKind::MissingSiteName});
    }
    for (const auto &[name, adapter] : document.adapters) {
        if (!document.models.contains(adapter.model)) {
            errors.push_back({ValidationErrorKind::UnknownModel, Section::Adapters, name.text(), adapter.model.text()});
        }
        if (document.models.contains(base::ModelName(name.text()))) {
            errors.push_back({ValidationErrorKind::AmbiguousName, Section::Adapters, name.text(), name.text()});
        }
    }
}

void checkAddress(const base::Address &address, Section section, const std::string &name, std::map<base::Address, std::string> &names, ValidationErrors &errors)
{
    const auto [it, isNew] = names.emplace(address, name);
    if (!isNew) {
        errors.push_back({ValidationErrorKind::DuplicateAddress, section, name, it->second});
    }
}

void checkAddresses(const Document &document, ValidationErrors &errors)
{
    std::map<base::Address, std::string> names;
    std::map<base::EndpointId, std::string> ids;
    for (const auto &[id, endpoint] : document.endpoints) {
        checkAddress(endpoint.address, Section::Endpoints, id.text(), names, errors);
        ids.emplace(id, "endpoints");
    }
    for (const auto &[name, service] : document.services) {
        if (service.instances.empty()) {
            errors.push_back({ValidationErrorKind::NoInstances, Section::Services, name.text()});
        }
        for (const auto &it : service.instances) {
            checkAddress(it.address, Section::Services, it.id.text(), names, errors);
            const auto [other, isNew] = ids.emplace(it.id, name.text());
            if (!isNew) {
                errors.push_back({ValidationErrorKind::DuplicateInstanceId, Section::Services, it.id.text(), other->second});
            }
        }
    }
}

/// Endpoints that serve callers; prefill endpoints do not.
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

void checkEachModel(const Document &document, const Endpoints &endpoints, ValidationErrors &errors)
{
    for (const auto &[name, model] : document.models) {
        const auto memory = model.memoryMib;
        const auto fitting = std::count_if(endpoints.begin(), endpoints.end(), [&](const auto &it) { return it.second.memoryMib >= memory; });
        if (fitting == 0) {
            const auto largest = Packing(endpoints).largestFreeMib();
            errors.push_back({ValidationErrorKind::ModelTooLarge, Section::Models, name.text(), "", memory, largest});
        } else if (static_cast<std::uint64_t>(fitting) < model.minimumReplicas) {
            errors.push_back(
                {ValidationErrorKind::TooFewEndpoints, Section::Models, name.text(), "", model.minimumReplicas, static_cast<std::uint64_t>(fitting)});
        }
    }
}

std::vector<ReplicaDemand> largestFirst(std::vector<ReplicaDemand> demands)
{
    std::sort(demands.begin(), demands.end(),
              [](const ReplicaDemand &a, const ReplicaDemand &b) { return a.memoryMib != b.memoryMib ? a.memoryMib > b.memoryMib : a.model < b.model; });
    return demands;
}

void packModels(Packing &packing, std::vector<ReplicaDemand> demands, ValidationErrorKind kind, ValidationErrors &errors)
{
    for (const auto &it : largestFirst(std::move(demands))) {
        const auto placed = packing.place(it);
        if (placed < it.replicas) {
            errors.push_back({kind, Section::Models, it.model.text(), "", it.memoryMib, packing.largestFreeMib()});
        }
    }
}

void packAdapters(Packing &packing, const Document &document, ValidationErrorKind kind, ValidationErrors &errors)
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
            errors.push_back({kind, Section::Adapters, it->name.text(), it->model.text(), it->memoryMib, packing.largestFreeMib()});
        }
    }
}

std::vector<ReplicaDemand> minimumDemands(const Document &document)
{
    std::vector<ReplicaDemand> demands;
    for (const auto &[name, model] : document.models) {
        demands.push_back({name, model.memoryMib, model.minimumReplicas});
    }
    return demands;
}

void checkFinalState(const Document &next, const Endpoints &endpoints, ValidationErrors &errors)
{
    Packing packing(endpoints);
    packModels(packing, minimumDemands(next), ValidationErrorKind::ModelDoesNotFit, errors);
    packAdapters(packing, next, ValidationErrorKind::AdapterDoesNotFit, errors);
}

/// What is resident during the transition: all models of the new document, the removed models, and one additional replica
/// of each model whose weights change, because the new version is loaded before the old one is unloaded.
std::vector<ReplicaDemand> transitionDemands(const Document &previous, const Document &next)
{
    auto demands = minimumDemands(next);
    for (const auto &[name, old] : previous.models) {
        const auto found = next.models.find(name);
        if (found == next.models.end()) {
            demands.push_back({name, old.memoryMib, old.minimumReplicas});
        } else if (found->second.version != old.version || found->second.memoryMib != old.memoryMib) {
            demands.push_back({base::ModelName(name.text() + " (previous version)"), old.memoryMib, 1});
        }
    }
    return demands;
}

Endpoints retainedEndpoints(const Endpoints &before, const Endpoints &after)
{
    Endpoints retained;
    for (const auto &[id, endpoint] : after) {
        const auto old = before.find(id);
        if (old != before.end() && old->second.address == endpoint.address) {
            auto smaller = endpoint;
            smaller.memoryMib = std::min(endpoint.memoryMib, old->second.memoryMib);
            retained.emplace(id, smaller);
        }
    }
    return retained;
}

void checkRetainedEndpoints(const Document &previous, const Document &next, const Endpoints &retained, ValidationErrors &errors)
{
    std::vector<ReplicaDemand> demands;
    for (const auto &[name, model] : next.models) {
        const auto old = previous.models.find(name);
        if (old != previous.models.end()) {
            demands.push_back({name, old->second.memoryMib, 1});
        }
    }
    Packing packing(retained);
    packModels(packing, std::move(demands), ValidationErrorKind::NoRetainedEndpoint, errors);
}

void checkTransition(const Document &previous, const Document &next, const Endpoints &endpoints, ValidationErrors &errors)
{
    if (previous.models != next.models || previous.adapters != next.adapters) {
        Packing packing(endpoints);
        packModels(packing, transitionDemands(previous, next), ValidationErrorKind::TransitionDoesNotFit, errors);
        packAdapters(packing, next, ValidationErrorKind::TransitionDoesNotFit, errors);
    }
    if (previous.endpoints != next.endpoints) {
        checkRetainedEndpoints(previous, next, retainedEndpoints(servingEndpoints(previous.endpoints), endpoints), errors);
    }
}

std::string requiredAndAvailable(const ValidationError &error, const std::string &unit)
{
    return std::to_string(error.required) + unit + " required, at most " + std::to_string(error.available) + unit + " available";
}

std::string description(const ValidationError &error)
{
    switch (error.kind) {
    case ValidationErrorKind::MissingSiteName:
        return "the site has no name";
    case ValidationErrorKind::UnknownModel:
        return "model " + error.other + " does not exist";
    case ValidationErrorKind::AmbiguousName:
        return "a model has the same name";
    case ValidationErrorKind::DuplicateAddress:
        return "address is already used by " + error.other;
    case ValidationErrorKind::DuplicateInstanceId:
        return "id is already used in " + error.other;
    case ValidationErrorKind::NoInstances:
        return "the service has no instances";
    case ValidationErrorKind::ModelTooLarge:
        return "exceeds the memory of every serving endpoint: " + requiredAndAvailable(error, " MiB");
    case ValidationErrorKind::TooFewEndpoints:
        return "too few endpoints have enough memory: " + requiredAndAvailable(error, "");
    case ValidationErrorKind::ModelDoesNotFit:
        return "does not fit next to the other models: " + requiredAndAvailable(error, " MiB");
    case ValidationErrorKind::AdapterDoesNotFit:
        return "does not fit next to a replica of " + error.other + ": " + requiredAndAvailable(error, " MiB");
    case ValidationErrorKind::TransitionDoesNotFit:
        return "does not fit during the transition (split the change in two): " + requiredAndAvailable(error, " MiB");
    case ValidationErrorKind::NoRetainedEndpoint:
        return "does not fit on the endpoints that remain (replace endpoints in several steps): " + requiredAndAvailable(error, " MiB");
    }
    return "";
}

} // namespace

std::string toString(const ValidationError &error)
{
    auto table = std::string(toString(error.section));
    if (!error.name.empty()) {
        table += "." + error.name;
    }
    return "[" + table + "] " + description(error);
}

std::vector<ValidationError> validate(const Document &next, const Document *previous)
{
    ValidationErrors errors;
    const auto endpoints = servingEndpoints(next.endpoints);
    checkReferences(next, errors);
    checkAddresses(next, errors);
    checkEachModel(next, endpoints, errors);
    if (errors.empty()) {
        checkFinalState(next, endpoints, errors);
    }
    if (errors.empty() && previous != nullptr) {
        checkTransition(*previous, next, endpoints, errors);
    }
    return errors;
}

} // namespace turmericplank::configuration

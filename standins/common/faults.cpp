#include "common/faults.hpp"

#include <functional>
#include <map>

#include <nlohmann/json.hpp>

namespace turmericplank::standins {

namespace {

using nlohmann::json;

const std::map<std::string, std::function<void(Faults &, const json &)>> faultReaders = {
    {"delay_ms",
     [](Faults &it, const json &value) {
         it.delay = std::chrono::milliseconds(value.get<std::int64_t>());
     }},
    {"lose_answers",
     [](Faults &it, const json &value) {
         value.get_to(it.answersToLose);
     }},
    {"outage",
     [](Faults &it, const json &value) {
         value.get_to(it.isOutage);
     }},
    {"silent",
     [](Faults &it, const json &value) {
         value.get_to(it.isSilent);
     }},
    {"silent_open_only",
     [](Faults &it, const json &value) {
         value.get_to(it.silencesOpenOnly);
     }},
    {"crash_on",
     [](Faults &it, const json &value) {
         value.get_to(it.crashOn);
     }},
    {"leaving",
     [](Faults &it, const json &value) {
         value.get_to(it.isLeaving);
     }},
    {"drop_events",
     [](Faults &it, const json &value) {
         value.get_to(it.eventDropProbability);
     }},
};

} // namespace

bool Faults::crashesOn(std::string_view body) const
{
    return !crashOn.empty() && body.find(crashOn) != std::string_view::npos;
}

tl::expected<Faults, FaultsError> readFaults(std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return tl::unexpected(FaultsError::NotAnObject);
    }
    Faults faults;
    for (const auto &[name, value] : document.items()) {
        const auto reader = faultReaders.find(name);
        if (reader == faultReaders.end()) {
            return tl::unexpected(FaultsError::UnknownFault);
        }
        try {
            reader->second(faults, value);
        } catch (const json::type_error &) {
            return tl::unexpected(FaultsError::WrongType);
        }
    }
    return faults;
}

} // namespace turmericplank::standins

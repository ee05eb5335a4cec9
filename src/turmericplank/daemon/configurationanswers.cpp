#include "configurationanswers.hpp"

#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/daemon/errorbody.hpp"

namespace turmericplank::daemon {

namespace {

using configuration::StoreFailure;
using nlohmann::json;

constexpr auto StoreRetryInterval = std::chrono::seconds(2);

net::HttpResponse errorAnswer(const ErrorBody &error, json details = json::object())
{
    auto response = errorResponse(error);
    auto body = json::parse(response.body);
    body.update(details);
    response.body = body.dump();
    return response;
}

net::HttpResponse failureAnswer(StoreFailure failure)
{
    const auto retryAt = base::now() + StoreRetryInterval;
    switch (failure) {
    case StoreFailure::Unavailable:
        return errorAnswer({503, "store_unavailable", base::Outcome::NotRun, "the platform did not answer; nothing was changed", retryAt});
    case StoreFailure::OutcomeUnknown:
        return errorAnswer({504, "unsettled", base::Outcome::Unknown, "the change may have taken effect; check the draft before retrying", retryAt});
    case StoreFailure::Malformed:
        return errorAnswer({500, "malformed_configuration", base::Outcome::NotRun, "a row or object of the configuration is malformed"});
    }
    return errorAnswer({500, "malformed_configuration", base::Outcome::NotRun, ""});
}

json parseErrorsJson(const std::vector<configuration::ParseError> &errors)
{
    auto list = json::array();
    for (const auto &it : errors) {
        list.push_back({{"section", it.section}, {"key", it.key}, {"line", it.line}, {"expected", it.expected}, {"text", toString(it)}});
    }
    return list;
}

json validationErrorsJson(const std::vector<configuration::ValidationError> &errors)
{
    auto list = json::array();
    for (const auto &it : errors) {
        list.push_back({{"section", toString(it.section)}, {"name", it.name}, {"wanted", it.required}, {"available", it.available}, {"text", toString(it)}});
    }
    return list;
}

json differenceJson(const configuration::Difference &difference)
{
    return {{"difference", toJson(difference)}, {"difference_text", toString(difference)}};
}

struct EditErrorAnswer
{
    net::HttpResponse operator()(const std::vector<configuration::ParseError> &errors) const
    {
        return errorAnswer({400, "invalid_section", base::Outcome::NotRun, "the section contains errors"}, {{"mistakes", parseErrorsJson(errors)}});
    }

    net::HttpResponse operator()(const configuration::EditConflict &conflict) const
    {
        auto details = differenceJson(conflict.difference);
        details["revision"] = conflict.revision;
        details["author"] = conflict.author;
        return errorAnswer(
            {409, "section_moved", base::Outcome::NotRun, "another edit changed the section; the difference leads from the current section to this edit"},
            std::move(details));
    }

    net::HttpResponse operator()(StoreFailure failure) const
    {
        return failureAnswer(failure);
    }
};

struct AcceptErrorAnswer
{
    net::HttpResponse operator()(const configuration::DraftChanged &moved) const
    {
        auto details = differenceJson(moved.difference);
        details["digest"] = moved.currentDigest;
        details["from"] = moved.isExpectedKnown ? "seen" : "accepted";
        return errorAnswer({409, "draft_moved", base::Outcome::NotRun, "the draft does not have the given digest"}, std::move(details));
    }

    net::HttpResponse operator()(const std::vector<configuration::ValidationError> &errors) const
    {
        return errorAnswer({422, "cannot_be_served", base::Outcome::NotRun, "the draft cannot be served"}, {{"reasons", validationErrorsJson(errors)}});
    }

    net::HttpResponse operator()(const configuration::TooManyPending &pending) const
    {
        return errorAnswer({429, "too_many_pending", base::Outcome::NotRun, "too many accepted revisions are not in force yet", pending.retryAt});
    }

    net::HttpResponse operator()(StoreFailure failure) const
    {
        return failureAnswer(failure);
    }
};

json sectionsJson(const configuration::ViewResult &view)
{
    auto sections = json::object();
    for (const auto section : configuration::AllSections) {
        const auto found = view.draft.sections.find(section);
        const auto exists = found != view.draft.sections.end();
        sections[std::string(toString(section))] = {{"revision", view.draft.revisionOf(section)},
                                                    {"author", exists ? found->second.author : ""},
                                                    {"text", exists ? configuration::canonicalText(*view.document, section) : ""}};
    }
    return sections;
}

json acceptedJson(const configuration::Pointer &pointer)
{
    if (pointer.entries.empty()) {
        return nullptr;
    }
    const auto &entry = pointer.entries.back();
    return {{"revision", entry.revision.value()}, {"digest", entry.digest}, {"in_force_from", base::toMilliseconds(entry.inForceFrom)}};
}

} // namespace

net::HttpResponse jsonResponse(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

json toJson(const configuration::Difference &difference)
{
    auto list = json::array();
    for (const auto &it : difference) {
        list.push_back({{"section", toString(it.section)}, {"name", it.name}, {"before", it.before}, {"after", it.after}});
    }
    return list;
}

net::HttpResponse answerTo(const configuration::EditResult &result)
{
    if (!result) {
        return std::visit(EditErrorAnswer(), result.error());
    }
    return jsonResponse(200, {{"revision", result->revision}, {"digest", result->documentDigest}});
}

net::HttpResponse answerTo(const configuration::AcceptResult &result)
{
    if (!result) {
        return std::visit(AcceptErrorAnswer(), result.error());
    }
    return jsonResponse(200,
                        {{"revision", result->revision.value()},
                         {"digest", result->digest},
                         {"in_force_from", base::toMilliseconds(result->inForceFrom)},
                         {"is_new", result->isNew}});
}

net::HttpResponse documentAnswer(const tl::expected<configuration::ViewResult, StoreFailure> &result)
{
    if (!result) {
        return failureAnswer(result.error());
    }
    return jsonResponse(200, {{"digest", result->digest}, {"sections", sectionsJson(*result)}, {"accepted", acceptedJson(result->pointer)}});
}

net::HttpResponse differenceAnswer(const tl::expected<configuration::ViewResult, StoreFailure> &result)
{
    if (!result) {
        return failureAnswer(result.error());
    }
    auto body = differenceJson(result->difference());
    body["digest"] = result->digest;
    body["accepted"] = acceptedJson(result->pointer);
    return jsonResponse(200, body);
}

} // namespace turmericplank::daemon

#include "operatorclient.hpp"

#include <iostream>

#include <boost/asio/io_context.hpp>

#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::cli {

namespace {

using nlohmann::json;

constexpr base::Duration AnswerTimeout = std::chrono::seconds(30);

using CallResult = tl::expected<net::HttpResponse, net::CallFailure>;

CallResult call(const base::Address &to, const net::HttpRequest &request)
{
    boost::asio::io_context context(1);
    CallResult result = tl::unexpected(net::CallFailure::NotSent);
    net::HttpCallOptions options;
    options.to = to;
    options.request = request;
    options.responseHeaderTimeout = AnswerTimeout;
    options.bodyIdleTimeout = AnswerTimeout;
    fetchResponse(context, std::move(options), [&result](CallResult answer) { result = std::move(answer); });
    context.run();
    return result;
}

std::vector<base::Address> addressesOf(const OperatorOptions &options)
{
    std::vector<base::Address> addresses;
    for (const auto &it : options.daemons) {
        const auto address = base::parseAddress(it);
        if (!address) {
            std::cerr << it << ": expected IP:PORT\n";
            throw CLI::RuntimeError(Failed);
        }
        addresses.push_back(*address);
    }
    return addresses;
}

OperatorAnswer answerFrom(const base::Address &address, const CallResult &result)
{
    OperatorAnswer answer;
    answer.daemon = toString(address);
    if (result) {
        answer.status = result->status;
        answer.body = json::parse(result->body, nullptr, false);
    }
    return answer;
}

void printList(const json &body, const char *key)
{
    for (const auto &it : body.value(key, json::array())) {
        std::cerr << "  " << it.value("text", std::string()) << '\n';
    }
}

} // namespace

void addOperatorOptions(CLI::App &command, OperatorOptions &options)
{
    command.add_option("--daemon", options.daemons, "operators' address IP:PORT of a daemon; several are separated by commas")
        ->envname("TURMERICPLANK_DAEMONS")
        ->delimiter(',')
        ->required();
    command.add_option("--author", options.author, "who makes the change, for the log")->envname("USER");
    command.add_flag("--json", options.isJson, "print answers as JSON");
}

OperatorAnswer callAny(const OperatorOptions &options, const net::HttpRequest &request)
{
    for (const auto &it : addressesOf(options)) {
        const auto result = call(it, request);
        if (result) {
            return answerFrom(it, result);
        }
        const auto isReading = request.method == "GET";
        if (result.error() != net::CallFailure::NotSent && !isReading) {
            std::cerr << toString(it) << " did not answer; check the draft before retrying\n";
            throw CLI::RuntimeError(Unsettled);
        }
    }
    std::cerr << "no daemon answered\n";
    throw CLI::RuntimeError(Unreachable);
}

std::vector<OperatorAnswer> callAll(const OperatorOptions &options, const net::HttpRequest &request)
{
    std::vector<OperatorAnswer> answers;
    for (const auto &it : addressesOf(options)) {
        answers.push_back(answerFrom(it, call(it, request)));
    }
    return answers;
}

ExitCode exitCodeOf(const OperatorAnswer &answer)
{
    switch (answer.status) {
    case 200:
    case 202:
    case 204:
        return Success;
    case 409:
        return Conflict;
    case 503:
        return Unreachable;
    case 504:
        return Unsettled;
    default:
        return Failed;
    }
}

void printError(const OperatorAnswer &answer)
{
    if (!answer.body.is_object()) {
        std::cerr << answer.daemon << " answered with status " << answer.status << '\n';
        return;
    }
    const auto error = answer.body.value("error", json::object());
    std::cerr << error.value("code", std::string("error")) << ": " << error.value("message", std::string()) << '\n';
    printList(answer.body, "mistakes");
    printList(answer.body, "reasons");
    if (answer.body.contains("author")) {
        std::cerr << "  revision " << answer.body.value("revision", 0) << " by " << answer.body.value("author", std::string()) << '\n';
    }
    std::cerr << answer.body.value("difference_text", std::string());
}

void finish(const OperatorOptions &options, const OperatorAnswer &answer)
{
    const auto code = exitCodeOf(answer);
    if (options.isJson) {
        std::cout << (answer.body.is_discarded() ? json() : answer.body).dump(2) << '\n';
    } else if (code != Success) {
        printError(answer);
    }
    if (code != Success) {
        throw CLI::RuntimeError(code);
    }
}

} // namespace turmericplank::cli

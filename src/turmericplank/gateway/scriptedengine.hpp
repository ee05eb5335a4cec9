#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "turmericplank/discovery/endpointentry.hpp"
#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::gateway::testing {

/// @brief One thing that an engine does with a call, in the order of its script.
struct EngineStep
{
    enum class Kind {
        Event, ///< sends the next event of the stream
        HalfEvent, ///< sends the first line of the next event
        Pause, ///< sends nothing for a while
        Accept, ///< sends the head of the response
        End, ///< ends the stream
        Reject, ///< answers that the call was not run
        Break, ///< closes the connection
        Noise, ///< sends bytes again and again, with pauses, until the connection is closed
    };
    Kind kind = Kind::Event;
    base::Duration pause{0};
    std::string bytes = {};
};

/// @brief Steps of a stream: events, and pauses between them, up to its end.
inline std::vector<EngineStep> events(int count)
{
    return std::vector<EngineStep>(static_cast<std::size_t>(count), EngineStep{});
}

inline std::vector<EngineStep> operator+(std::vector<EngineStep> a, const std::vector<EngineStep> &b)
{
    a.insert(a.end(), b.begin(), b.end());
    return a;
}

inline std::vector<EngineStep> pause(base::Duration length)
{
    return {{EngineStep::Kind::Pause, length}};
}

inline std::vector<EngineStep> step(EngineStep::Kind kind)
{
    return {{kind, {}}};
}

inline std::vector<EngineStep> noise(std::string bytes, base::Duration pause)
{
    return {{EngineStep::Kind::Noise, pause, std::move(bytes)}};
}

inline const auto firstPort = static_cast<std::uint16_t>(28000 + 2 * (getpid() % 1000)); ///< of a site; keeps parallel runs apart
constexpr std::string_view StateTarget = "/state"; ///< of the request for an engine's state; the answer is its incarnation

/// @brief An engine that plays a script for each call that it gets, one script after the other.
class ScriptedEngine
{
public:
    ScriptedEngine(boost::asio::io_context &context, std::string id, std::uint16_t port)
        : m_context(context)
        , m_id(std::move(id))
        , m_port(port)
    {
        net::HttpServerOptions options;
        options.listen = {"127.0.0.1", port};
        options.onRequest = [this](const net::ExchangePointer &exchange) {
            handleCall(exchange);
        };
        m_server = net::listenHttp(context, std::move(options));
    }

    discovery::EndpointEntry entry(const std::string &softwareVersion = "v1") const
    {
        discovery::EndpointEntry it;
        it.id = base::EndpointId(m_id);
        it.service = base::ServiceName("s");
        it.address = {"127.0.0.1", m_port};
        it.zone = base::ZoneName(m_id);
        it.softwareVersion = softwareVersion;
        it.slots = 16;
        it.incarnation = base::Incarnation(incarnation);
        it.models[base::ModelName("m")];
        return it;
    }

    std::vector<std::vector<EngineStep>> scripts; ///< of the next calls; without one, a call is rejected
    std::vector<std::string> received; ///< Last-Event-Id of each call, empty if it had none
    std::vector<net::Headers> receivedHeaders; ///< of each call
    int abandoned = 0; ///< calls whose connection was closed before the end of their script
    std::uint64_t incarnation = 1;
    bool answersStateRequests = true;
    int stateRequests = 0;

private:
    struct Run
    {
        net::ExchangePointer exchange;
        std::vector<EngineStep> steps;
        std::size_t next = 0;
        std::uint64_t lastEvent = 0;
        bool isStreaming = false;
        bool isAbandoned = false;
    };

    void handleCall(const net::ExchangePointer &exchange)
    {
        if (exchange->request().target == StateTarget) {
            answerStateRequest(exchange);
            return;
        }
        const std::string last(header(exchange->request().headers, "Last-Event-Id"));
        const auto run = std::make_shared<Run>();
        run->exchange = exchange;
        run->steps = scripts.size() > received.size() ? scripts[received.size()] : step(EngineStep::Kind::Reject);
        run->lastEvent = last.empty() ? 0 : std::stoull(last);
        received.push_back(last);
        receivedHeaders.push_back(exchange->request().headers);
        exchange->setOnClosed([this, run] {
            run->isAbandoned = true;
            ++abandoned;
        });
        play(run);
    }

    void answerStateRequest(const net::ExchangePointer &exchange)
    {
        ++stateRequests;
        if (answersStateRequests) {
            exchange->respond({200, {}, std::to_string(incarnation)});
        } else {
            m_unanswered.push_back(exchange);
        }
    }

    net::Headers headers(const Run &run) const
    {
        return {{"Request-Id", std::string(header(run.exchange->request().headers, "Request-Id"))}, {"Server-Seal", m_id}};
    }

    void accept(Run &run) const
    {
        if (!std::exchange(run.isStreaming, true)) {
            run.exchange->startStream(200, headers(run));
        }
    }

    void play(const std::shared_ptr<Run> &run)
    {
        while (run->next < run->steps.size() && !run->isAbandoned) {
            const auto &it = run->steps[run->next++];
            switch (it.kind) {
            case EngineStep::Kind::Event:
                accept(*run);
                ++run->lastEvent;
                run->exchange->writeChunk("id: " + std::to_string(run->lastEvent) + "\ndata: " + m_id + "\n\n");
                break;
            case EngineStep::Kind::HalfEvent:
                run->exchange->writeChunk("id: " + std::to_string(run->lastEvent + 1) + "\n");
                break;
            case EngineStep::Kind::Accept:
                accept(*run);
                break;
            case EngineStep::Kind::Pause: {
                const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, it.pause);
                timer->async_wait([this, run, timer](boost::system::error_code) { play(run); });
                return;
            }
            case EngineStep::Kind::End:
                run->exchange->endStream();
                break;
            case EngineStep::Kind::Reject: {
                auto head = headers(*run);
                head.push_back({"Not-Executed", "1"});
                run->exchange->respond({503, head, {}});
                break;
            }
            case EngineStep::Kind::Break:
                run->exchange->abort();
                break;
            case EngineStep::Kind::Noise:
                accept(*run);
                sendNoise(run, it);
                return;
            }
        }
    }

    void sendNoise(const std::shared_ptr<Run> &run, const EngineStep &noise)
    {
        if (run->isAbandoned) {
            return;
        }
        run->exchange->writeChunk(noise.bytes);
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, noise.pause);
        timer->async_wait([this, run, noise, timer](boost::system::error_code) { sendNoise(run, noise); });
    }

    boost::asio::io_context &m_context;
    std::string m_id;
    std::uint16_t m_port;
    std::vector<net::ExchangePointer> m_unanswered;
    std::unique_ptr<net::HttpServer> m_server;
};

} // namespace turmericplank::gateway::testing

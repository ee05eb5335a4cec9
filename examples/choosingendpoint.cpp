// Routes three requests between two endpoints and prints each decision with its reason.
#include <iostream>

#include "turmericplank/routing/router.hpp"

using namespace turmericplank;

int main()
{
    const base::ModelName model("advisor-7b");
    const base::Time start = base::timeFromMilliseconds(1'000'000);
    routing::Router router;
    router.setModels({model}, {});
    router.setEndpoints({{base::EndpointId("engine-1"), {"10.0.0.1", 8000}, base::ZoneName("tx/a"), 16},
                         {base::EndpointId("engine-2"), {"10.0.0.2", 8000}, base::ZoneName("tx/b"), 16}});
    for (const auto *name : {"engine-1", "engine-2"}) {
        routing::LoadReport report;
        report.incarnation = base::Incarnation(1);
        report.takenAt = start;
        report.resident = {{model, "v1"}};
        router.noteReport(base::EndpointId(name), report, start);
    }

    std::mt19937_64 random(1);
    for (int n = 0; n < 3; ++n) {
        routing::RouteRequest request;
        request.model = model;
        request.deadline = start + std::chrono::seconds(2);
        request.promptTokens = 400;
        const auto choice = router.choose(request, start, random);
        if (!choice) {
            std::cout << "no endpoint: " << toString(choice.error().reason) << '\n';
            return 1;
        }
        router.noteSent(*choice, request, start);
        std::cout << "request " << n << " goes to " << choice->endpoint << ", reason: " << toString(choice->reason) << '\n';
    }
    return 0;
}

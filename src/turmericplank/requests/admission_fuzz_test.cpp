#include <algorithm>
#include <deque>
#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "turmericplank/requests/admission.hpp"

using namespace turmericplank;
using namespace turmericplank::requests;

namespace {

constexpr std::uint32_t Limit = 3;
constexpr std::size_t WindowSize = 32;
constexpr std::size_t MaxOutOfOrder = WindowSize / 8 + WindowSize / 16 + 2; ///< one in 8 for aged calls, one in 16 for the lowest class

/// One step: the kind of event, and numbers that select the class, the deadline or the call.
using Step = std::tuple<unsigned, unsigned, unsigned>;

/// Reference model of admission: tracks waiting and running calls and counts starts ahead of a waiting urgent call.
class Oracle
{
public:
    void addWaiting(const AdmissionRequest &request)
    {
        waiting.emplace(request.call, request);
    }

    void applyActions(const std::vector<AdmissionAction> &actions)
    {
        for (const auto &it : actions) {
            if (const auto *rejection = std::get_if<RejectCall>(&it)) {
                RC_ASSERT(waiting.erase(rejection->call) == 1U);
                RC_ASSERT(rejection->error.outcome == base::Outcome::NotRun);
                continue;
            }
            start(std::get<StartCall>(it).call);
        }
    }

    std::map<CallNumber, AdmissionRequest> waiting;
    std::vector<CallNumber> running;

private:
    void start(CallNumber call)
    {
        const auto it = waiting.find(call);
        RC_ASSERT(it != waiting.end());
        const auto request = it->second;
        waiting.erase(it);
        running.push_back(call);
        RC_ASSERT(running.size() <= Limit);
        bool isUrgentWaiting = false;
        for (const auto &[other, otherRequest] : waiting) {
            RC_ASSERT(otherRequest.priority != request.priority || otherRequest.deadline >= request.deadline);
            isUrgentWaiting = isUrgentWaiting || otherRequest.priority == base::Priority::Urgent;
        }
        m_recentOutOfOrder.push_back(isUrgentWaiting && request.priority != base::Priority::Urgent);
        if (m_recentOutOfOrder.size() > WindowSize) {
            m_recentOutOfOrder.pop_front();
        }
        RC_ASSERT(static_cast<std::size_t>(std::count(m_recentOutOfOrder.begin(), m_recentOutOfOrder.end(), true)) <= MaxOutOfOrder);
    }

    std::deque<bool> m_recentOutOfOrder;
};

/// Property: calls start in order of class and deadline, within the limit, and each is started or rejected once.
std::function<void(const std::vector<Step> &)> keepsOrder(std::function<void(AdmissionOptions &)> modify)
{
    return [modify](const std::vector<Step> &steps) {
        AdmissionOptions options;
        options.modelLimit = [](const base::ModelName &) {
            return Limit;
        };
        if (modify) {
            modify(options);
        }
        Admission admission(options);
        Oracle oracle;
        base::Time now{std::chrono::seconds(1000)};
        std::uint64_t calls = 0;
        for (const auto &[kind, first, second] : steps) {
            now += std::chrono::milliseconds(second % 50);
            if (kind % 5 < 3) {
                const AdmissionRequest request{CallNumber(++calls), base::ModelName("m"), base::CallerName("c"), static_cast<base::Priority>(first % 3),
                                               now + std::chrono::milliseconds(1 + second % 200 * 100)};
                oracle.addWaiting(request);
                oracle.applyActions(admission.submit(request, now));
            } else if (kind % 5 == 3 && !oracle.running.empty()) {
                const auto at = oracle.running.begin() + static_cast<std::ptrdiff_t>(first % oracle.running.size());
                const auto call = *at;
                oracle.running.erase(at);
                oracle.applyActions(admission.finish(call, true, now));
            } else {
                oracle.applyActions(admission.tick(now));
            }
        }
        now += std::chrono::seconds(60);
        while (!oracle.running.empty()) {
            const auto call = oracle.running.back();
            oracle.running.pop_back();
            oracle.applyActions(admission.finish(call, true, now));
        }
        oracle.applyActions(admission.tick(now));
        RC_ASSERT(oracle.waiting.empty());
        RC_ASSERT(admission.waiting() == 0U);
    };
}

/// Whether the property fails for a broken variant of admission.
bool isDetected(const std::function<void(AdmissionOptions &)> &modify)
{
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 2000;
    params.maxSize = 300;
    params.disableShrinking = true;
    return rc::detail::checkTestable(keepsOrder(modify), rc::detail::TestMetadata(), params).is<rc::detail::FailureResult>();
}

} // namespace

TEST_CASE("calls start by class and deadline, within the limit, and each gets one answer")
{
    CHECK(rc::check("order of admission", keepsOrder(nullptr)));
}

TEST_CASE("the property detects a wrong order and a wrong limit")
{
    CHECK(isDetected([](AdmissionOptions &it) {
        it.precedes = [](base::Priority left, base::Priority right) {
            return left > right;
        };
    }));
    CHECK(isDetected([](AdmissionOptions &it) {
        it.modelLimit = [](const base::ModelName &) {
            return Limit + 1;
        };
    }));
    CHECK(isDetected([](AdmissionOptions &it) { it.agedCallInterval = it.lowestClassInterval = 1; }));
}

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
constexpr std::size_t MostOutOfOrder = WindowSize / 8 + WindowSize / 16 + 2;

/// One step: what happens, and numbers that pick the class, the deadline or the call.
using Step = std::tuple<unsigned, unsigned, unsigned>;

/// The simple oracle: who waits, who was started, and how often an urgent call was passed over.
class Oracle
{
public:
    void arrives(const AdmissionRequest &request)
    {
        waiting.emplace(request.call, request);
    }

    void takes(const std::vector<AdmissionAction> &actions)
    {
        for (const auto &it : actions) {
            if (const auto *refusal = std::get_if<RefuseCall>(&it)) {
                RC_ASSERT(waiting.erase(refusal->call) == 1U);
                RC_ASSERT(refusal->error.outcome == base::Outcome::NotRun);
                continue;
            }
            starts(std::get<StartCall>(it).call);
        }
    }

    std::map<CallNumber, AdmissionRequest> waiting;
    std::vector<CallNumber> running;

private:
    void starts(CallNumber call)
    {
        const auto it = waiting.find(call);
        RC_ASSERT(it != waiting.end());
        const auto request = it->second;
        waiting.erase(it);
        running.push_back(call);
        RC_ASSERT(running.size() <= Limit);
        bool isUrgentWaiting = false;
        for (const auto &[other, present] : waiting) {
            RC_ASSERT(present.priority != request.priority || present.deadline >= request.deadline);
            isUrgentWaiting = isUrgentWaiting || present.priority == base::Priority::Urgent;
        }
        m_outOfOrder.push_back(isUrgentWaiting && request.priority != base::Priority::Urgent);
        if (m_outOfOrder.size() > WindowSize) {
            m_outOfOrder.pop_front();
        }
        RC_ASSERT(static_cast<std::size_t>(std::count(m_outOfOrder.begin(), m_outOfOrder.end(), true)) <= MostOutOfOrder);
    }

    std::deque<bool> m_outOfOrder;
};

std::function<void(const std::vector<Step> &)> keepsOrder(std::function<void(AdmissionOptions &)> change)
{
    return [change](const std::vector<Step> &steps) {
        AdmissionOptions options;
        options.modelLimit = [](const base::ModelName &) {
            return Limit;
        };
        if (change) {
            change(options);
        }
        Admission admission(options);
        Oracle oracle;
        base::Time now{std::chrono::seconds(1000)};
        std::uint64_t calls = 0;
        for (const auto &[what, first, second] : steps) {
            now += std::chrono::milliseconds(second % 50);
            if (what % 5 < 3) {
                const AdmissionRequest request{CallNumber(++calls), base::ModelName("m"), base::CallerName("c"), static_cast<base::Priority>(first % 3),
                                               now + std::chrono::milliseconds(1 + second % 200 * 100)};
                oracle.arrives(request);
                oracle.takes(admission.submit(request, now));
            } else if (what % 5 == 3 && !oracle.running.empty()) {
                const auto at = oracle.running.begin() + static_cast<std::ptrdiff_t>(first % oracle.running.size());
                const auto call = *at;
                oracle.running.erase(at);
                oracle.takes(admission.finish(call, true, now));
            } else {
                oracle.takes(admission.tick(now));
            }
        }
        now += std::chrono::seconds(60);
        while (!oracle.running.empty()) {
            const auto call = oracle.running.back();
            oracle.running.pop_back();
            oracle.takes(admission.finish(call, true, now));
        }
        oracle.takes(admission.tick(now));
        RC_ASSERT(oracle.waiting.empty());
        RC_ASSERT(admission.waiting() == 0U);
    };
}

bool isCaught(const std::function<void(AdmissionOptions &)> &change)
{
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 2000;
    params.maxSize = 300;
    params.disableShrinking = true;
    return rc::detail::checkTestable(keepsOrder(change), rc::detail::TestMetadata(), params).is<rc::detail::FailureResult>();
}

} // namespace

TEST_CASE("calls start by class and deadline, within the limit, and each gets one word")
{
    CHECK(rc::check("order of admission", keepsOrder(nullptr)));
}

TEST_CASE("a broken order and a broken limit are caught")
{
    CHECK(isCaught([](AdmissionOptions &it) {
        it.goesBefore = [](base::Priority left, base::Priority right) {
            return left > right;
        };
    }));
    CHECK(isCaught([](AdmissionOptions &it) {
        it.modelLimit = [](const base::ModelName &) {
            return Limit + 1;
        };
    }));
    CHECK(isCaught([](AdmissionOptions &it) { it.agedShare = it.bulkShare = 1; }));
}

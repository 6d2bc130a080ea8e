// Tests for AdmissionQueue: ordering, fairness between accounts, refusals.
#include "corianderlink/Routing/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace corianderlink {
namespace {

const Time kStart{seconds(1000)};

PendingRequest Request(int id, const std::string& account, PriorityClass cls,
                       double cost = 100) {
  PendingRequest request;
  request.id = RequestId("r" + std::to_string(id));
  request.account = AccountId(account);
  request.model = ModelId("m");
  request.cls = cls;
  request.deadline = kStart + seconds(2);
  request.cost_tokens = cost;
  return request;
}

TEST(AdmissionQueueTest, FirstBurstAfterLowLoadIsNotRefused) {
  AdmissionQueue queue({});
  Time now = kStart;
  int id = 0;
  // Low load: one request per second, each dispatched at once.
  for (int i = 0; i < 60; ++i, now += seconds(1)) {
    PendingRequest request = Request(++id, "a", PriorityClass::kChat);
    request.deadline = now + seconds(2);
    ASSERT_FALSE(queue.Offer(now, request, 0));
    queue.OnDispatch(now + microseconds(50), request.id);
  }
  // Burst: the drain rate is still unknown, because no request had to wait.
  for (int i = 0; i < 200; ++i) {
    PendingRequest request = Request(++id, "a", PriorityClass::kChat);
    request.deadline = now + seconds(2);
    EXPECT_FALSE(queue.Offer(now, request, 0)) << "request " << i;
  }
}

TEST(AdmissionQueueTest, RetryAfterMatchesTheTimeToDrainTheQueue) {
  AdmissionQueue queue({});
  Time now = kStart;
  int id = 0;
  for (int i = 0; i < 500; ++i) {
    PendingRequest request = Request(++id, "a", PriorityClass::kChat);
    request.deadline = now + seconds(60);
    ASSERT_FALSE(queue.Offer(now, request, 0));
  }
  // Dispatches 10 requests of 100 tokens per second for 20 s.
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(100);
    queue.OnDispatch(now, queue.Heads(now).front().id);
  }
  PendingRequest late = Request(++id, "a", PriorityClass::kChat);
  late.deadline = now + seconds(2);
  const auto refusal = queue.Offer(now, late, 0);
  ASSERT_TRUE(refusal);
  EXPECT_NEAR(ToSeconds(refusal->retry_after), 30, 3);
  const auto with_jitter = queue.Offer(now, late, 0.9);
  ASSERT_TRUE(with_jitter);
  EXPECT_GT(with_jitter->retry_after, refusal->retry_after);
}

TEST(AdmissionQueueTest, EqualAccountsGetEqualShares) {
  AdmissionQueue queue({});
  int id = 0;
  std::map<RequestId, std::string> account_of;
  // Account "flood" queues ten times as many requests as each other account.
  for (int i = 0; i < 1000; ++i) {
    const std::string account =
        i % 13 < 10 ? "flood" : "small" + std::to_string(i % 13);
    const PendingRequest request = Request(++id, account, PriorityClass::kChat);
    account_of[request.id] = account;
    ASSERT_FALSE(queue.Offer(kStart, request, 0));
  }
  std::map<std::string, double> served;
  for (int i = 0; i < 200; ++i) {
    const PendingRequest head = queue.Heads(kStart).front();
    queue.OnDispatch(kStart, head.id);
    served[account_of[head.id]] += head.cost_tokens;
  }
  double sum = 0;
  double squares = 0;
  for (const auto& [account, tokens] : served) {
    sum += tokens;
    squares += tokens * tokens;
  }
  const double jain_index = sum * sum / (4 * squares);
  EXPECT_GE(jain_index, 0.95);
}

// Compares the queue with a reference model that scans all waiting requests.
RC_GTEST_PROP(AdmissionQueueProperty, ServesHigherClassesFirstAndLosesNoRequest,
              ()) {
  AdmissionQueue queue({});
  std::map<RequestId, PriorityClass> waiting;
  const auto operations =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  int id = 0;
  const Time now = kStart;
  for (const int operation : operations) {
    if (operation < 5) {
      const auto cls = static_cast<PriorityClass>(operation % 3);
      const PendingRequest request =
          Request(++id, "a" + std::to_string(operation), cls);
      RC_ASSERT(!queue.Offer(now, request, 0));
      waiting[request.id] = cls;
      continue;
    }
    const auto heads = queue.Heads(now);
    RC_ASSERT(heads.empty() == waiting.empty());
    if (heads.empty()) continue;
    const auto best = std::min_element(
        waiting.begin(), waiting.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    RC_ASSERT(heads.front().cls == best->second);
    if (operation == 5) queue.Remove(heads.front().id);
    if (operation > 5) queue.OnDispatch(now, heads.front().id);
    waiting.erase(heads.front().id);
    RC_ASSERT(queue.size() == waiting.size());
  }
  RC_ASSERT(queue.Expire(now + seconds(3)).size() == waiting.size());
  RC_ASSERT(queue.size() == 0u);
}

}  // namespace
}  // namespace corianderlink

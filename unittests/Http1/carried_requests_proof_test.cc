// Proof: no response is taken for the response to another request of its
// connection, though upstreams write copies of their refusals at any time.
#include <gtest/gtest.h>

#include <iostream>
#include <memory>
#include <string>

#include "Common/fault.h"
#include "Http1/pool_simulation.h"

namespace corianderlink {
namespace {

constexpr char kRefusedAndRun[] = "refused and run";

// Each naive version has one fault only.

/// Naive: matches by id alone, on any idle connection.
class AnyConnection : public ConnectionRule {
 public:
  bool CanCarry(const SentRequest& request) const override {
    if (request.id.empty()) return ConnectionRule::CanCarry(request);
    return HasRoom();
  }
};

/// Naive: remembers for each attempt to which upstreams it was sent.
class OncePerAttempt : public ConnectionRule {
 public:
  bool CanCarry(const SentRequest& request) const override {
    if (request.id.empty()) return ConnectionRule::CanCarry(request);
    return HasRoom() && !request.sent_before;
  }
};

/// Naive: orders and status calls accept whatever comes next.
class NextResponse : public ConnectionRule {
 public:
  bool CanCarry(const SentRequest& request) const override {
    return !request.reads_ids || ConnectionRule::CanCarry(request);
  }
  bool IsResponse(const SentRequest& request,
                  const std::string& named) const override {
    return !request.reads_ids || ConnectionRule::IsResponse(request, named);
  }
};

template <typename Rule>
ProofTotals PlayAll(PoolCounts& counts) {
  // The seeds alone; the faults of GenSchedule are those of processes.
  return RunSchedules(GenSchedule(0, 1, 2), [&](const Schedule& schedule) {
    const auto make_rule = [] { return std::make_unique<Rule>(); };
    return PoolSimulation(schedule.seed, make_rule, counts).Play();
  });
}

void PrintCounts(const std::string& version, const PoolCounts& counts) {
  std::cout << "proof:   " << version << ": copies=" << counts.copies.all
            << " without_id=" << counts.copies.without_id
            << " closing=" << counts.copies.closing
            << " in_pieces=" << counts.copies.in_pieces
            << " read_idle=" << counts.read_idle
            << " read_busy=" << counts.read_busy << " met=" << counts.met
            << " answered=" << counts.answered << " reused=" << counts.reused
            << " beside=" << counts.beside << " full=" << counts.full
            << std::endl;
}

/// Plays a naive version, which must take copies for responses and break the
/// promise that a refused request does not run.
template <typename Rule>
void ExpectNaiveFails(const std::string& name, const ProofTotals& tested) {
  PoolCounts counts;
  ProofTotals naive = PlayAll<Rule>(counts);
  PrintProof("own-answer-" + name, naive, tested);
  PrintCounts("naive own-answer-" + name, counts);
  EXPECT_GT(counts.met, tested.schedules) << name;
  EXPECT_GT(naive.violations_by_kind[kRefusedAndRun], tested.schedules / 10);
}

TEST(CarriedRequestsProof, EachResponseBelongsToItsRequest) {
  PoolCounts counts;
  const ProofTotals tested = PlayAll<ConnectionRule>(counts);
  ExpectNaiveFails<AnyConnection>("any-connection", tested);
  ExpectNaiveFails<OncePerAttempt>("once-per-attempt", tested);
  ExpectNaiveFails<NextResponse>("next-response", tested);
  PrintCounts("tested own-answer", counts);
  EXPECT_EQ(tested.violations, 0u) << tested.first_violation;
  EXPECT_EQ(counts.met, 0u);
  // The schedules use connections again and fill them, and copies are read.
  EXPECT_GT(counts.reused, 10 * tested.schedules);
  EXPECT_GT(counts.read_busy, tested.schedules);
  EXPECT_GT(counts.beside, tested.schedules);
  EXPECT_GT(counts.full, 0u);
}

}  // namespace
}  // namespace corianderlink

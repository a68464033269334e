/** @file PrioritySharesTest.cpp Processors kept by priority: the rule and the recent use. */
#include <sequoia/PriorityShares.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

namespace {

constexpr int64_t total = 30000;
constexpr TimePoint start { std::chrono::seconds(100) };

} // namespace

struct KeptRow {
    char name[64];
    PriorityUse uses[3];
    size_t n; ///< Number of uses.
    uint32_t priority;
    int64_t expected;
};

ParameterizedTestParameters(PriorityShares, keptCpu)
{
    static KeptRow rows[] = {
        { "one priority", { { 1, 0, 9000, true } }, 1, 1, 0 },
        { "one priority, order of another", { { 1, 9000, 9000, false } }, 1, 2, 0 },
        { "urgent use below its recent use", { { 0, 2000, 6000, true, true }, { 1, 5000, 5000, false } }, 2, 1, 4000 },
        { "urgent orders aren't refused", { { 0, 2000, 6000, true, false }, { 1, 5000, 5000, true } }, 2, 1, 0 },
        { "urgent use above its recent use", { { 0, 8000, 6000, true, true }, { 1, 5000, 5000, false } }, 2, 1, 0 },
        { "most for the urgent ones", { { 0, 0, 20000, true, true }, { 1, 5000, 5000, false } }, 2, 1, 10000 },
        { "two urgent priorities",
            { { 0, 2000, 4000, true, true }, { 1, 2000, 5000, true, true }, { 2, 5000, 5000, false } }, 3, 2, 5000 },
        { "above its recent use is no gain for another",
            { { 0, 9000, 4000, true, true }, { 1, 2000, 5000, true, true }, { 2, 5000, 5000, false } }, 3, 2, 3000 },
        { "below the floor, not held back for urgent ones", { { 0, 0, 8000, true, true }, { 1, 2999, 5000, false } }, 2,
            1, 0 },
        { "floor of the less urgent one", { { 0, 20000, 20000, false }, { 1, 0, 9000, true } }, 2, 0, 3000 },
        { "floor in part", { { 0, 20000, 20000, false }, { 1, 1000, 9000, true } }, 2, 0, 2000 },
        { "floor of the least urgent one",
            { { 0, 20000, 20000, false }, { 1, 4000, 9000, true }, { 2, 0, 9000, true } }, 3, 0, 3000 },
        { "floor of two", { { 0, 20000, 20000, false }, { 1, 0, 9000, true }, { 2, 0, 9000, true } }, 3, 0, 3000 },
        { "floor is in use", { { 0, 20000, 20000, false }, { 1, 4000, 9000, true } }, 2, 0, 0 },
        { "floor of one without recent use", { { 0, 20000, 20000, false }, { 1, 0, 0, true } }, 2, 0, 3000 },
        { "no floor for one that doesn't wait", { { 0, 20000, 20000, false }, { 1, 0, 9000, false } }, 2, 0, 0 },
        { "both sides", { { 0, 1000, 2000, true, true }, { 1, 9000, 9000, false }, { 2, 500, 500, true } }, 3, 1,
            3500 },
        { "order of an unknown priority", { { 0, 1000, 2000, true, true }, { 1, 1000, 1000, false } }, 2, 7, 0 },
    };
    return cr_make_param_array(KeptRow, rows, sizeof(rows) / sizeof(KeptRow));
}

ParameterizedTest(KeptRow* row, PriorityShares, keptCpu)
{
    PriorityShareLimits limits;
    limits.maxUrgentShare = 1.0 / 3; // 10,000
    limits.floorShare = 0.1;
    const auto kept = keptCpu(total, { row->uses, row->uses + row->n }, row->priority, limits);
    cr_expect_eq(kept, row->expected, "%s: %ld", row->name, kept);
}

Test(PriorityShares, recentUseIsAMaximumThatDecaysToTheUse)
{
    constexpr Milliseconds timeConstant { 1000 };
    RecentUse use;
    use.add(8000, start, timeConstant);
    use.add(-6000, start + Milliseconds(1000), timeConstant);
    cr_expect_eq(use.now(), 2000);
    cr_expect_eq(use.recent(start + Milliseconds(1000), timeConstant), 8000);
    cr_expect_eq(use.recent(start + Milliseconds(2000), timeConstant), 2000 + 2207); // 6000 / e
    cr_expect_leq(use.recent(start + Milliseconds(12000), timeConstant), 2001, "An idle priority keeps nothing.");
}

Test(PriorityShares, priorityIsForgottenOnceItHasNoRunsAndNoOrders)
{
    PriorityShareLimits limits;
    limits.retention = Milliseconds(5000);
    PriorityShares shares(limits);
    shares.use(0, 4000, start);
    shares.want(1, start);
    shares.forgetOld(start + Milliseconds(6000));
    cr_expect_eq(shares.mostUrgent(), 0U, "It has a run.");
    shares.use(0, -4000, start + Milliseconds(6000));
    shares.want(3, start + Milliseconds(11000));
    shares.forgetOld(start + Milliseconds(12000));
    cr_expect_eq(shares.mostUrgent(), 3U);
}

/** @file CrashRecordsTest.cpp Which tasks are suspects, which are given up and which routes are isolated after crashes.
 */
#include <sequoia/CrashRecords.h>
#include <sequoia/Learned.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

TaskId taskOf(uint64_t job) { return { WorkId(job), StepIndex(0), TaskIndex(0) }; }

CrashedRun runOf(uint64_t job, int ageMs, bool isLatest, bool isSuspect)
{
    return { taskOf(job), "route", Milliseconds(ageMs), isLatest, isSuspect };
}

ServerCrash crashOf(uint64_t agent, int agoMs, std::vector<CrashedRun> runs)
{
    return { Incarnation(agent), 1, Milliseconds(agoMs), std::move(runs) };
}

} // namespace

struct BlameRow {
    char name[56];
    int ages[3]; ///< Of the run of job 1 at each crash, ms; negative for no crash.
    bool isLatest; ///< At the first crash.
    bool isSuspect; ///< At the later ones.
    bool hasOldSuspect; ///< Beside it at the later ones runs another task that has seen a crash.
    bool isGivenUp;
    bool isIsolated;
};

ParameterizedTestParameters(CrashRecords, innocentTasksAreNotGivenUp)
{
    static BlameRow rows[] = {
        { "started last, then the only suspect", { 10, 12, -1 }, true, true, false, true, true },
        { "one crash", { 10, -1, -1 }, true, true, false, false, false },
        { "beside another task that has seen a crash", { 10, 12, -1 }, true, true, true, false, false },
        { "second crash at another age", { 10, 700, -1 }, true, true, false, false, false },
        { "both crashes long after the start", { 600, 700, -1 }, true, true, false, false, false },
        { "no suspect any more", { 10, 12, -1 }, true, false, false, false, false },
        { "three crashes at about the same age", { 600, 700, 650 }, false, false, false, true, false },
        { "three crashes at random ages", { 10, 700, 100 }, false, false, false, false, false },
    };
    return cr_make_param_array(BlameRow, rows, sizeof(rows) / sizeof(BlameRow));
}

ParameterizedTest(BlameRow* row, CrashRecords, innocentTasksAreNotGivenUp)
{
    CrashRecords records({});
    uint64_t agent = 0;
    for (const auto age : row->ages) {
        if (age < 0)
            continue;
        const bool isFirst = agent++ == 0;
        std::vector runs { runOf(1, age, isFirst && row->isLatest, !isFirst && row->isSuspect) };
        if (row->hasOldSuspect)
            runs.push_back(runOf(2, age + 5, false, false));
        runs.push_back(runOf(10 + agent, 300, false, false));
        cr_expect(records.add(crashOf(agent, 0, runs), start + Milliseconds(100 * agent)), "%s", row->name);
    }
    const auto now = start + Milliseconds(400);
    cr_expect_eq(records.isGivenUp(taskOf(1)), row->isGivenUp, "%s", row->name);
    cr_expect_eq(records.hasTaskGivenUp(WorkId(1)), row->isGivenUp, "%s", row->name);
    cr_expect_eq(records.isIsolated("route", now), row->isIsolated, "%s", row->name);
    for (uint64_t bystander = 11; bystander <= 10 + agent; ++bystander)
        cr_expect_not(records.isGivenUp(taskOf(bystander)), "%s: a bystander", row->name);
}

Test(CrashRecords, taskThatCrashesServersAtRandomAgesIsGivenUpInTheEnd)
{
    CrashRecords records({});
    int n = 0;
    for (const auto age : { 10, 700, 100, 1500 })
        records.add(crashOf(static_cast<uint64_t>(++n), 0, { runOf(1, age, false, false) }), start);
    cr_expect_not(records.isGivenUp(taskOf(1)));
    records.add(crashOf(9, 0, { runOf(1, 300, false, false) }), start);
    cr_expect(records.isGivenUp(taskOf(1)), "it may be started twice after three crashes, not three times");
}

Test(CrashRecords, restartedEntryComesToTheSameResultInAnyOrderAndCountsNoCrashTwice)
{
    const auto first = crashOf(1, 200, { runOf(1, 10, true, false), runOf(2, 300, false, false) });
    const auto second = crashOf(2, 100, { runOf(1, 12, true, true), runOf(3, 300, false, false) });
    CrashRecords records({});
    records.restore(taskOf(2), { 1, 1, 0, false, Milliseconds(300) }, start);
    cr_expect(records.add(second, start));
    cr_expect(records.add(first, start));
    cr_expect_not(records.add(first, start), "it was told twice");
    cr_expect(records.isGivenUp(taskOf(1)));
    cr_expect(records.isIsolated("route", start));
    cr_expect_eq(records.crashesUnder(taskOf(2)), 1U);
    cr_expect_not(records.isGivenUp(taskOf(2)));
}

struct ReleaseRow {
    char name[40];
    int successes;
    bool isStartedBefore; ///< The jobs were started before the crash.
    int afterMs;
    bool isReleased;
};

ParameterizedTestParameters(CrashRecords, isolatedRoutesAreReleasedByTrialOrInTime)
{
    static ReleaseRow rows[] = {
        { "too few successes", 19, false, 1000, false },
        { "enough successes", 20, false, 1000, true },
        { "of jobs from before the crash", 20, true, 1000, false },
        { "no crash for long", 0, false, 12000, true },
    };
    return cr_make_param_array(ReleaseRow, rows, sizeof(rows) / sizeof(ReleaseRow));
}

ParameterizedTest(ReleaseRow* row, CrashRecords, isolatedRoutesAreReleasedByTrialOrInTime)
{
    CrashRecords records({});
    records.add(crashOf(1, 0, { runOf(1, 10, true, false) }), start);
    records.add(crashOf(2, 0, { runOf(1, 12, true, true) }), start);
    cr_assert(records.isIsolated("route", start), "%s", row->name);
    cr_expect_not(records.isIsolated("other", start), "%s", row->name);
    const auto now = start + Milliseconds(row->afterMs);
    for (int i = 0; i < row->successes; ++i)
        records.recordSuccess("route", row->isStartedBefore ? start - Milliseconds(1) : start + Milliseconds(1), now);
    records.tick(now);
    cr_expect_eq(records.isIsolated("route", now), !row->isReleased, "%s", row->name);
}

Test(Learned, suspicionsOutliveTheirEntryAndItemsOfEarlierReleasesAreRead)
{
    Learned learned;
    learned.suspicions[toString(taskOf(7))] = { 2, 2, 1, true, 10 };
    const auto read = parseLearned(toText(learned));
    cr_assert(read.has_value());
    cr_assert_eq(read->suspicions.size(), 1U);
    const auto& [text, suspicion] = *read->suspicions.begin();
    cr_expect(parseTaskId(text) == taskOf(7));
    cr_expect_eq(suspicion.total, 2U);
    cr_expect(suspicion.hasCrashedAsSuspect);
    cr_expect(parseLearned(R"({"declared":{},"undeclared":{},"patience":{},"speeds":{}})").has_value());
    cr_expect_not(parseTaskId("0000000000000007.0").has_value());
}

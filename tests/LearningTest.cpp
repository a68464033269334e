/** @file LearningTest.cpp Models that learn from traffic: run times, slowness, caller time-outs and load. */
#include <sequoia/EstimateModel.h>
#include <sequoia/LoadModel.h>
#include <sequoia/ResubmissionDetector.h>
#include <sequoia/SpeedModel.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cmath>
#include <random>

using namespace sequoia;

namespace {

constexpr TimePoint start { std::chrono::seconds(100) };

/** Generates jobs; their work is log-normal with a median of `mean` ms, and their estimates are off by a log-normal
 * factor. */
struct JobGenerator {
    double mean = 200;
    double workSpread = 0.4;
    double estimateSpread = 0.4;
    double estimateFactor = 1;
    std::mt19937_64 random { 1 };

    struct Job {
        Milliseconds estimate {};
        Microseconds work {};
    };
    Job next()
    {
        const double work = mean * std::exp(std::normal_distribution<>(0, workSpread)(random));
        const double estimate = work * estimateFactor * std::exp(std::normal_distribution<>(0, estimateSpread)(random));
        return { Milliseconds(std::max<int64_t>(std::llround(estimate), 1)), Microseconds(std::llround(work * 1000)) };
    }
};

/** Mean of the squared log (actual / expected time) over generated jobs. */
double squaredError(const EstimateModel& model, JobGenerator jobs)
{
    constexpr int n = 2000;
    double sum = 0;
    for (int i = 0; i < n; ++i) {
        const auto job = jobs.next();
        const double expected = static_cast<double>(model.expected("route", job.estimate).count());
        sum += std::pow(std::log(static_cast<double>(job.work.count()) / 1000 / expected), 2);
    }
    return sum / n;
}

} // namespace

struct EstimateRow {
    char name[40];
    double workSpread;
    double estimateSpread;
    double maxError; ///< Standard deviation left by the optimal prediction, plus a tenth.
};

ParameterizedTestParameters(EstimateModel, predictionCombinesEstimateAndUsualRunTime)
{
    static EstimateRow rows[] = {
        { "estimates vary like the jobs", 0.4, 0.4, 0.283 * 1.1 },
        { "exact estimates", 0.4, 0.01, 0.06 },
        { "estimates with little information", 0.2, 0.8, 0.194 * 1.1 },
        { "jobs of the same length", 0.01, 0.4, 0.06 },
    };
    return cr_make_param_array(EstimateRow, rows, sizeof(rows) / sizeof(EstimateRow));
}

ParameterizedTest(EstimateRow* row, EstimateModel, predictionCombinesEstimateAndUsualRunTime)
{
    JobGenerator jobs { .workSpread = row->workSpread, .estimateSpread = row->estimateSpread };
    EstimateModel model;
    for (int i = 0; i < 600; ++i) {
        const auto job = jobs.next();
        model.learn("route", job.estimate, job.work);
    }
    cr_expect_leq(std::sqrt(squaredError(model, jobs)), row->maxError, "%s: deviation %f", row->name,
        std::sqrt(squaredError(model, jobs)));
}

Test(EstimateModel, usesDeclaredEstimatesUntilEnoughSamples)
{
    EstimateModel model;
    cr_expect_eq(model.expected("route", Milliseconds(300)).count(), 300);
    cr_expect_eq(model.expected("route", Milliseconds(0)).count(), 0);
    model.learn("route", Milliseconds(300), Microseconds(3000000));
    cr_expect_lt(model.expected("route", Milliseconds(300)).count(), 600, "a single job changes the prediction little");
}

Test(EstimateModel, routesAreLearnedSeparatelyAndTheOverallMeanIsKept)
{
    // Estimates of one route are four times too short, those of the other four times too long.
    JobGenerator underestimated { .estimateFactor = 0.25 };
    JobGenerator overestimated { .estimateFactor = 4 };
    EstimateModel model;
    for (int i = 0; i < 600; ++i) {
        const auto a = underestimated.next();
        const auto b = overestimated.next();
        model.learn("short", a.estimate, a.work);
        model.learn("long", b.estimate, b.work);
    }
    const auto a = static_cast<double>(model.expected("short", Milliseconds(50)).count());
    const auto b = static_cast<double>(model.expected("long", Milliseconds(800)).count());
    cr_expect_float_eq(a / b, 1, 0.2, "jobs of both routes take 200 ms: %f and %f", a, b);
    cr_expect_float_eq(a / 200, 1, 0.2, "%f", a);
}

Test(EstimateModel, jobsWithoutEstimateGetTheUsualRunTime)
{
    EstimateModel model;
    for (int i = 0; i < 50; ++i)
        model.learn("route", Milliseconds(0), Microseconds(70000));
    cr_expect_float_eq(static_cast<double>(model.expected("route", Milliseconds(0)).count()), 70, 2);
}

struct SpeedRow {
    char name[48];
    double before; ///< Slowness during the first 200 samples.
    double after; ///< Slowness after the change.
    int samples; ///< Samples after the change.
    int idleMs; ///< Time without samples at the end.
    double minSlowness;
    double maxSlowness;
};

ParameterizedTestParameters(SpeedModel, slownessFollowsObservedRunTimes)
{
    static SpeedRow rows[] = {
        { "steady", 1.7, 1.7, 0, 0, 1.45, 1.95 },
        { "becomes slow", 1.0, 6.5, 8, 0, 4.0, 9.0 },
        { "single outlier changes little", 1.0, 20.0, 1, 0, 0.8, 1.4 },
        { "becomes fast again", 6.5, 1.0, 8, 0, 0.7, 1.6 },
        { "briefly slow, then without work", 1.0, 6.5, 8, 8000, 0.7, 1.8 },
        { "always slow, then without work", 1.7, 1.7, 0, 20000, 1.45, 1.95 },
    };
    return cr_make_param_array(SpeedRow, rows, sizeof(rows) / sizeof(SpeedRow));
}

ParameterizedTest(SpeedRow* row, SpeedModel, slownessFollowsObservedRunTimes)
{
    std::mt19937_64 random(3);
    SpeedModel model;
    auto now = start;
    const auto run = [&](double slowness) {
        now += Milliseconds(20);
        const double ms = 100 * slowness * std::exp(std::normal_distribution<>(0, 0.28)(random));
        model.learn(Milliseconds(100), Microseconds(std::llround(ms * 1000)), now);
    };
    for (int i = 0; i < 200; ++i)
        run(row->before);
    for (int i = 0; i < row->samples; ++i)
        run(row->after);
    now += Milliseconds(row->idleMs);
    cr_expect_geq(model.slowness(now), row->minSlowness, "%s: %f", row->name, model.slowness(now));
    cr_expect_leq(model.slowness(now), row->maxSlowness, "%s: %f", row->name, model.slowness(now));
}

struct CallerTimeoutRow {
    char name[48];
    double spread; ///< Standard deviation of the logarithm of the callers' time-outs.
    double resubmittedShare; ///< Share of requests that are resubmitted, 1,300 ms after the first time.
    bool isRestored; ///< The model of the route is restored from an earlier process.
    double minDetectedShare; ///< Share of resubmitted requests that have to be detected.
    double maxFalsePositiveShare; ///< Largest share of first requests that are taken for resubmitted ones.
};

ParameterizedTestParameters(ResubmissionDetector, detectsResubmittedRequests)
{
    static CallerTimeoutRow rows[] = {
        { "equal time-outs", 0.05, 0.5, true, 0.95, 0.01 },
        { "different time-outs", 0.15, 0.5, true, 0.7, 0.01 },
        { "without a restored model", 0.05, 0.3, false, 0, 0.01 },
        { "very different time-outs", 0.8, 0, true, 0, 0.02 },
    };
    return cr_make_param_array(CallerTimeoutRow, rows, sizeof(rows) / sizeof(CallerTimeoutRow));
}

ParameterizedTest(CallerTimeoutRow* row, ResubmissionDetector, detectsResubmittedRequests)
{
    std::mt19937_64 random(5);
    const auto timeout
        = [&] { return std::llround(2000 * std::exp(std::normal_distribution<>(0, row->spread)(random))); };
    ResubmissionDetector model;
    if (row->isRestored) {
        ResubmissionDetector earlier;
        for (int i = 0; i < 500; ++i)
            earlier.waitedBefore("route", Milliseconds(timeout()));
        Learned learned;
        earlier.saveTo(learned);
        const auto parsed = parseLearned(toText(learned));
        cr_assert(parsed.has_value());
        model.restore(*parsed);
    }
    constexpr int requests = 200;
    int detected = 0;
    int resubmitted = 0;
    int falsePositives = 0;
    for (int i = 0; i < requests; ++i) {
        const bool isResubmitted = std::uniform_real_distribution<>(0, 1)(random) < row->resubmittedShare;
        const auto budget = Milliseconds(std::max<int64_t>(timeout() - (isResubmitted ? 1300 : 0), 1));
        const auto waited = model.waitedBefore("route", budget);
        cr_expect_leq(waited.count(), 2000, "%s", row->name);
        resubmitted += isResubmitted ? 1 : 0;
        detected += isResubmitted && waited.count() > 0 ? 1 : 0;
        falsePositives += !isResubmitted && waited.count() > 0 ? 1 : 0;
    }
    cr_expect_geq(detected, row->minDetectedShare * resubmitted, "%s: %d of %d", row->name, detected, resubmitted);
    cr_expect_leq(falsePositives, row->maxFalsePositiveShare * (requests - resubmitted), "%s: %d of %d", row->name,
        falsePositives, requests - resubmitted);
}

struct BudgetRow {
    char name[24];
    int workMs; ///< Mean work of the longest task of a job.
    double minDetectedShare; ///< Share of resubmitted requests that have to be detected.
};

ParameterizedTestParameters(ResubmissionDetector, detectsResubmissionsOfTheSimulatedJobKinds)
{
    // Callers time out after 1,500 ms plus three times the response objective of the job. The logarithm of work has a
    // standard deviation of 0.4.
    static BudgetRow rows[] = { { "scan", 60, 0.98 }, { "fill", 200, 0.8 }, { "reroute", 900, 0 } };
    return cr_make_param_array(BudgetRow, rows, sizeof(rows) / sizeof(BudgetRow));
}

ParameterizedTest(BudgetRow* row, ResubmissionDetector, detectsResubmissionsOfTheSimulatedJobKinds)
{
    constexpr Milliseconds resendPause { 1300 };
    std::mt19937_64 random(7);
    const auto budget = [&] {
        const double work = row->workMs * std::exp(std::normal_distribution<>(-0.08, 0.4)(random));
        return Milliseconds(std::llround(1500 + 3 * (1.6 * work + 60)));
    };
    ResubmissionDetectorLimits limits;
    limits.minResendDelay = resendPause;
    ResubmissionDetector model(limits);
    // After a caller with a much longer time-out, the others must not be taken for resubmitted requests.
    model.waitedBefore("route", Milliseconds(15000));
    int falsePositives = 0;
    for (int i = 0; i < 1000; ++i)
        falsePositives += model.waitedBefore("route", budget()).count() > 0 ? 1 : 0;
    cr_expect_leq(falsePositives, 5, "%s: %d", row->name, falsePositives);
    // After a loss of power of all machines, half of the requests are resubmitted ones for about a second.
    int detected = 0;
    for (int i = 0; i < 50; ++i) {
        model.waitedBefore("route", budget());
        const auto remaining = std::max(budget() - resendPause, Milliseconds(1));
        const auto waited = model.waitedBefore("route", remaining);
        detected += waited.count() > 0 ? 1 : 0;
        cr_expect(waited.count() == 0 || waited >= resendPause, "%s: %ld ms", row->name, waited.count());
    }
    cr_expect_geq(detected, row->minDetectedShare * 50, "%s: %d of 50", row->name, detected);
}

Test(Learned, isSerializedAndMerged)
{
    Learned a;
    a.declared["r"] = { 10, 1, 2, 3, 4, 5 };
    a.speeds["agent"] = { 1000, 1.5, 20 };
    Learned b;
    b.declared["r"] = { 20, 6, 7, 8, 9, 10 };
    b.speeds["agent"] = { 2000, 0.5, 3 };
    b.callerTimeouts["r"] = { 30, 7.5, 0.2, 0.01 };
    a.merge(b);
    const auto merged = parseLearned(toText(a));
    cr_assert(merged.has_value());
    cr_expect_float_eq(merged->declared.at("r").meanX, 6, 1e-9, "the sums with more jobs are taken");
    cr_expect_eq(
        merged->speeds.at("agent").life, 2000, "a newer incarnation of the server replaces the values of an older one");
    cr_expect_float_eq(merged->callerTimeouts.at("r").mean, 7.5, 1e-9);
    for (const char* text : { "", "{}", "[]", "{\"declared\":1}", "{\"declared\":{\"r\":{\"weight\":\"x\"}}}" })
        cr_expect_not(parseLearned(text).has_value(), "%s", text);
}

Test(SpeedModel, restoreKeepsTheStateWithMoreSamples)
{
    SpeedModel model;
    model.restore(1.7, 50);
    cr_expect_float_eq(model.slowness(start), 1.7, 1e-6);
    model.learn(Milliseconds(100), Microseconds(100000), start);
    cr_expect_geq(model.slowness(start), 1.6, "a single run changes the slowness little");
    model.restore(0.5, 10);
    cr_expect_geq(model.slowness(start), 1.6);
}

Test(LoadModel, measuresArrivalRatesByPriorityAndCapacity)
{
    LoadModel load;
    auto now = start;
    for (int i = 0; i < 1000; ++i) {
        now += Milliseconds(10);
        load.recordArrival(0, 100, now);
        load.recordArrival(2, 300, now);
        load.recordCompletion(200, now);
    }
    cr_expect_float_eq(load.arrivalRate(now), 40, 1);
    cr_expect_float_eq(load.arrivalRateBefore(2, now), 10, 0.5);
    cr_expect_float_eq(load.arrivalRateBefore(0, now), 0, 1e-9);
    cr_expect_float_eq(load.capacity(77, now), 77, 1e-9, "finished work doesn't count as capacity without a backlog");
    load.setBacklogged(true, now);
    for (int i = 0; i < 500; ++i) {
        now += Milliseconds(10);
        load.recordCompletion(200, now);
    }
    cr_expect_float_eq(load.capacity(77, now), 20, 1, "%f", load.capacity(77, now));
    cr_expect_lt(load.arrivalRate(now), 2, "the arrival rate decays after a burst");
}

struct RestartRow {
    char name[48];
    int64_t runMs; ///< Duration of the first runs; no work is finished before.
    double rate; ///< Work per ms that the servers finish after that.
};

ParameterizedTestParameters(LoadModel, capacityIsNotUnderestimatedAfterAStart)
{
    static RestartRow rows[] = {
        { "short runs", 100, 20 },
        { "long runs", 1500, 20 },
        { "servers that restart one by one", 2500, 12 },
    };
    return cr_make_param_array(RestartRow, rows, sizeof(rows) / sizeof(RestartRow));
}

ParameterizedTest(RestartRow* row, LoadModel, capacityIsNotUnderestimatedAfterAStart)
{
    constexpr double share = 20;
    LoadModel load;
    load.setBacklogged(true, start);
    for (Milliseconds passed { 0 }; passed <= Milliseconds(4000); passed += Milliseconds(10)) {
        const auto now = start + passed;
        if (passed.count() >= row->runMs)
            load.recordCompletion(row->rate * 10, now);
        const auto capacity = load.capacity(share, now);
        cr_assert_geq(capacity, share / 4, "%s: %f after %ld ms", row->name, capacity, long(passed.count()));
    }
    const auto settled = load.capacity(share, start + Milliseconds(4000));
    cr_expect_geq(settled, row->rate * 0.7, "%s: %f", row->name, settled);
    cr_expect_leq(settled, row->rate * 1.3, "%s: %f", row->name, settled);
}

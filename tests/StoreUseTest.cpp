/** @file StoreUseTest.cpp Tests the classes of entries that use the shared store, with a fake of the store. */
#include <sequoia/ActiveRoutes.h>
#include <sequoia/EntryDirectory.h>
#include <sequoia/Evacuations.h>
#include <sequoia/LearnedPublisher.h>
#include <sequoia/Registration.h>
#include <sequoia/StoreWatcher.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

namespace {

/** A store that records the calls; the test gives the replies by calling `items`, `lease` or `done`. */
struct FakeStore {
    std::vector<std::string> calls;
    std::function<void(StoreReply<SharedItems>)> items;
    std::function<void(StoreReply<LeaseGrant>)> lease;
    std::function<void(StoreReply<EmptyReply>)> done;
    TimePoint now { std::chrono::seconds(10) };
    Log log { "test", LogLevel::Error, 0 };

    SharedStore store()
    {
        SharedStore out;
        out.list = [this](const std::string&, auto reply) {
            calls.emplace_back("list");
            items = std::move(reply);
        };
        out.watch = [this](const std::string&, StoreVersion after, Milliseconds, auto reply) {
            calls.push_back("watch " + std::to_string(static_cast<uint64_t>(after)));
            items = std::move(reply);
        };
        out.grantLease = [this](Milliseconds, auto reply) {
            calls.emplace_back("lease");
            lease = std::move(reply);
        };
        out.renewLease = [this](StoreLease, auto reply) {
            calls.emplace_back("keep");
            done = std::move(reply);
        };
        out.revokeLease = [this](StoreLease) { calls.emplace_back("end"); };
        out.put = [this](const std::string&, const std::string&, StoreLease, auto reply) {
            calls.emplace_back("put");
            done = std::move(reply);
        };
        return out;
    }
};

SharedItems itemsOf(uint64_t version, std::vector<SharedItem> items)
{
    return { std::move(items), StoreVersion(version) };
}

} // namespace

Test(StoreWatcher, listsAgainAfterHistoryWasCompacted)
{
    FakeStore fake;
    const auto store = fake.store();
    size_t changes = 0;
    StoreWatcher watcher("p/", store, fake.log, {}, { [&](const auto&) { ++changes; }, [&] { return fake.now; } });
    watcher.tick();
    fake.items(itemsOf(5, { { "p/a", "1", StoreVersion(5), false } }));
    cr_expect_eq(fake.calls.back(), "watch 5");
    fake.items(itemsOf(7, { { "p/b", "2", StoreVersion(6), false }, { "p/a", "", StoreVersion(7), true } }));
    cr_expect_eq(fake.calls.back(), "watch 7");
    cr_expect_eq(watcher.items().size(), 1U);
    cr_expect_eq(watcher.items().at("p/b"), "2");
    fake.items(itemsOf(6, {}));
    cr_expect_eq(fake.calls.back(), "watch 7", "the version must not decrease");
    fake.items(SharedStoreError::HistoryGone);
    watcher.tick();
    cr_expect_eq(fake.calls.back(), "list");
    fake.items(itemsOf(9, {}));
    cr_expect(watcher.items().empty(), "items that the new list lacks must be removed");
    cr_expect_eq(changes, 3U);
}

Test(StoreWatcher, backsOffAfterFailures)
{
    FakeStore fake;
    const auto store = fake.store();
    StoreWatcher watcher("p/", store, fake.log, {}, { [](const auto&) {}, [&] { return fake.now; } });
    watcher.tick();
    fake.items(SharedStoreError::Unavailable);
    cr_expect_not(watcher.isConnected());
    watcher.tick();
    cr_expect_eq(fake.calls.size(), 1U, "the retry must wait for the pause");
    fake.now += Milliseconds(400);
    watcher.tick();
    cr_expect_eq(fake.calls.size(), 2U);
    fake.items(itemsOf(1, {}));
    cr_expect(watcher.isConnected());
}

/** A watch whose replies couldn't be read made the watcher list without a pause. */
Test(StoreWatcher, pausesIfNoWatchSucceedsAfterAListing)
{
    FakeStore fake;
    const auto store = fake.store();
    StoreWatcher watcher("p/", store, fake.log, {}, { [](const auto&) {}, [&] { return fake.now; } });
    watcher.tick();
    fake.items(itemsOf(5, {}));
    fake.items(SharedStoreError::HistoryGone);
    watcher.tick();
    cr_expect_eq(fake.calls.back(), "watch 5", "the next listing must wait for the pause");
    fake.now += Milliseconds(400);
    watcher.tick();
    cr_expect_eq(fake.calls.back(), "list");
}

/** One watch serves the configuration and the requests for evacuations, which name a failure domain in their keys. */
Test(StoreWatcher, watchesConfigurationAndEvacuationsTogether)
{
    FakeStore fake;
    const auto store = fake.store();
    StoreWatcher* self = nullptr;
    std::vector<std::string> states; ///< Configuration, store version and evacuated domains at each change.
    StoreWatcher watcher("o/", store, fake.log, {},
        { [&](const auto& items) {
             std::string text = items.contains("o/config") ? items.at("o/config") : "";
             text += "@" + std::to_string(static_cast<uint64_t>(self->version()));
             for (const auto& domain : evacuatedDomains(items, "o/e/"))
                 text += " " + domain;
             states.push_back(text);
         },
            [&] { return fake.now; } });
    self = &watcher;
    watcher.tick();
    fake.items(itemsOf(5,
        { { "o/config", "c1", StoreVersion(1), false }, { "o/e/east", "any", StoreVersion(5), false },
            { "o/e/", "", StoreVersion(4), false }, { "o/ea", "", StoreVersion(4), false } }));
    cr_expect_eq(states.back(), "c1@5 east", "%s", states.back().c_str());
    fake.items(itemsOf(7, { { "o/e/a/b", "", StoreVersion(7), false } }));
    cr_expect_eq(states.back(), "c1@7 a/b east", "%s", states.back().c_str());
    fake.items(itemsOf(8, { { "o/config", "c2", StoreVersion(8), false } }));
    cr_expect_eq(states.back(), "c2@8 a/b east", "%s", states.back().c_str());
    fake.items(itemsOf(9, { { "o/e/east", "", StoreVersion(9), true } }));
    cr_expect_eq(states.back(), "c2@9 a/b", "%s", states.back().c_str());
    fake.items(SharedStoreError::HistoryGone);
    watcher.tick();
    fake.items(itemsOf(12, { { "o/config", "c2", StoreVersion(8), false } }));
    cr_expect_eq(states.back(), "c2@12", "what was removed meanwhile: %s", states.back().c_str());
    cr_expect_eq(fake.calls.back(), "watch 12");
    cr_expect_eq(fake.calls.size(), 7U, "one call at a time serves both");
}

struct EvacuationTextRow {
    char text[72];
    bool isValid;
};

ParameterizedTestParameters(Evacuations, readsWhatPeersTell)
{
    static EvacuationTextRow rows[] = {
        { R"({"version":7,"domains":["a","b"]})", true },
        { R"({"version":7,"domains":[]})", true },
        { R"({"version":-7,"domains":[]})", false },
        { R"({"version":7.5,"domains":[]})", false },
        { R"({"version":7,"domains":[1]})", false },
        { R"({"version":7})", false },
        { R"([7])", false },
        { "", false },
    };
    return cr_make_param_array(EvacuationTextRow, rows, sizeof(rows) / sizeof(EvacuationTextRow));
}

ParameterizedTest(EvacuationTextRow* row, Evacuations, readsWhatPeersTell)
{
    const auto state = parseEvacuations(row->text);
    cr_assert_eq(state.has_value(), row->isValid, "%s", row->text);
    if (!state)
        return;
    Evacuations evacuations;
    cr_expect(toText(evacuations).empty(), "an entry that knows nothing tells nothing");
    evacuations.update(state->domains, state->version);
    const auto again = parseEvacuations(toText(evacuations));
    cr_assert(again.has_value());
    cr_expect(again->domains == state->domains && again->version == state->version, "%s", row->text);
}

/** An answer that is older than one before would undo what came after it, and count as the newest. */
Test(StoreWatcher, oldAnswersToAWatchAreNotFollowed)
{
    FakeStore fake;
    const auto store = fake.store();
    size_t changes = 0;
    StoreWatcher watcher("o/", store, fake.log, {}, { [&](const auto&) { ++changes; }, [&] { return fake.now; } });
    watcher.tick();
    fake.items(itemsOf(9, { { "o/e/east", "", StoreVersion(8), false } }));
    fake.items(itemsOf(6, { { "o/e/east", "", StoreVersion(6), true } }));
    cr_expect_eq(watcher.items().size(), 1U);
    cr_expect_eq(changes, 1U);
    fake.now += Milliseconds(400);
    watcher.tick();
    cr_expect_eq(fake.calls.back(), "list");
    fake.items(itemsOf(10, { { "o/e/east", "", StoreVersion(8), false } }));
    cr_expect_eq(changes, 2U);
}

Test(Registration, registersAgainAfterItsLeaseHasEnded)
{
    FakeStore fake;
    const auto store = fake.store();
    Registration registration("k", "v", store, fake.log, {}, [&] { return fake.now; });
    registration.tick();
    fake.lease(LeaseGrant { StoreLease(1), Milliseconds(6000) });
    fake.done(EmptyReply {});
    fake.now += Milliseconds(2000);
    registration.tick();
    cr_expect_eq(fake.calls.back(), "keep");
    fake.done(SharedStoreError::LeaseEnded);
    registration.tick();
    cr_expect_eq(fake.calls.back(), "lease", "a new lease must be requested without a pause");
    fake.lease(SharedStoreError::Unavailable);
    fake.now += Milliseconds(300);
    registration.tick();
    fake.lease(LeaseGrant { StoreLease(2), Milliseconds(6000) });
    fake.done(EmptyReply {});
    registration.onMissing();
    registration.tick();
    cr_expect_eq(fake.calls.back(), "lease", "an item removed by others must be registered again");
}

struct RouteRow {
    char host[24];
    char path[24];
    int route; ///< Index of the expected route; -1 for none.
};

ParameterizedTestParameters(RouteTable, findsTheLongestPrefix)
{
    static RouteRow rows[] = { { "a.example", "/x/1", 0 }, { "A.Example:80", "/x/1", 0 }, { "a.example", "/x/y/1", 1 },
        { "b.example", "/x/1", -1 }, { "a.example", "/", -1 }, { "a.example", "/z/1", 2 }, { "other", "/z/1", 2 } };
    return cr_make_param_array(RouteRow, rows, sizeof(rows) / sizeof(RouteRow));
}

ParameterizedTest(RouteRow* row, RouteTable, findsTheLongestPrefix)
{
    RouteTable table;
    const HostName host("a.example");
    table.routes = { { host, "/x/", {} }, { host, "/x/y/", {} }, { std::nullopt, "/z/", {} } };
    const auto* found = table.find(HostName(row->host), row->path);
    cr_expect_eq(found == nullptr ? -1 : found - table.routes.data(), row->route, "%s%s", row->host, row->path);
}

Test(LearnedPublisher, restoresFirstAndThenPublishesChanges)
{
    FakeStore fake;
    const auto store = fake.store();
    std::optional<Learned> learned;
    std::optional<Learned> recalled;
    LearnedPublisher publisher("entry", store, fake.log, {},
        { [&] { return learned; }, [&](const Learned& all) { recalled = all; }, [&] { return fake.now; } });
    publisher.tick();
    cr_assert_eq(fake.calls.back(), "list");
    fake.items(SharedStoreError::Unavailable);
    publisher.tick();
    cr_expect_eq(fake.calls.size(), 1U, "the retry must wait for the pause");
    fake.now += Milliseconds(1000);
    publisher.tick();
    Learned before;
    before.speeds["agent"] = { 7, 1.5, 20 };
    fake.items(itemsOf(3,
        { { "sequoia/learned/other", toText(before), StoreVersion(3), false },
            { "sequoia/learned/broken", "{", StoreVersion(3), false } }));
    cr_assert(recalled.has_value());
    cr_expect_eq(recalled->speeds.at("agent").samples, 20U);
    fake.now += Milliseconds(5000);
    publisher.tick();
    cr_expect_eq(fake.calls.back(), "list", "without learned values nothing may be written");
    learned.emplace();
    fake.now += Milliseconds(5000);
    publisher.tick();
    cr_expect_eq(fake.calls.back(), "lease");
    fake.lease(LeaseGrant { StoreLease(1), Milliseconds(600000) });
    cr_expect_eq(fake.calls.back(), "put");
    fake.done(EmptyReply {});
    const auto calls = fake.calls.size();
    fake.now += Milliseconds(5000);
    publisher.tick();
    cr_expect_eq(fake.calls.size(), calls, "unchanged values must not be written again");
    learned->speeds["agent"] = { 7, 1.6, 30 };
    fake.now += Milliseconds(5000);
    publisher.tick();
    cr_expect_eq(fake.calls.back(), "put");
}

Test(LearnedPublisher, largeTextsArePublishedLessOften)
{
    FakeStore fake;
    const auto store = fake.store();
    Learned learned;
    for (int i = 0; i < 1000; ++i)
        learned.speeds["agent-" + std::to_string(i)] = { 1000000000000, 1.25, 50 };
    LearnedPublisher publisher("entry", store, fake.log, {},
        { [&] { return std::optional(learned); }, [](const Learned&) {}, [&] { return fake.now; } });
    publisher.tick();
    fake.items(itemsOf(1, {}));
    fake.now += Milliseconds(1000);
    publisher.tick();
    fake.lease(LeaseGrant { StoreLease(1), Milliseconds(600000) });
    fake.done(EmptyReply {});
    const auto calls = fake.calls.size();
    learned.speeds["agent-0"].samples = 51;
    const auto minInterval = Milliseconds(static_cast<int64_t>(toText(learned).size()) * 1000 / 1024);
    fake.now += minInterval - Milliseconds(1000);
    publisher.tick();
    cr_expect_eq(fake.calls.size(), calls, "writes must not exceed 1 KB/s on average");
    fake.now += Milliseconds(1100);
    publisher.tick();
    cr_expect_eq(fake.calls.back(), "put");
}

Test(EntryDirectory, parsesItemsAndCountsMalformedOnes)
{
    const std::map<std::string, std::string> items { { "e/1", toText(EntryItem { "a:1", "a:2", "z" }) },
        { "e/2", "{\"link\":5}" }, { "e/3", "x" }, { "e/4", toText(EntryItem { "b:1", "", "z" }) },
        { "e/5", toText(EntryItem { "no port", "a:2", "z" }) },
        { "e/6", toText(EntryItem { "a:1", "a:70000", "z" }) } };
    const auto directory = EntryDirectory::fromItems(items);
    cr_expect_eq(directory.linkAddresses.size(), 2U);
    cr_expect_eq(directory.peerAddresses.size(), 1U);
    cr_expect_eq(directory.malformed.size(), 4U);
}

Test(EntryDirectory, allEntriesSeeTheSameOrder)
{
    const std::map<std::string, std::string> items { { "e/1", toText(EntryItem { "c:1", "", "west" }) },
        { "e/2", toText(EntryItem { "a:1", "", "east" }) }, { "e/3", toText(EntryItem { "b:1", "", "west" }) } };
    const auto directory = EntryDirectory::fromItems(items);
    cr_expect_eq(directory.positionOf("a:1"), 0U);
    cr_expect_eq(directory.positionOf("c:1"), 1U);
    cr_expect_eq(directory.positionOf("b:1"), 2U);
    cr_expect_eq(directory.positionOf("unknown:1"), 3U);
}

Test(ActiveRoutes, ignoresOlderVersions)
{
    Log log("test", LogLevel::Error, 0, [](const std::string&, LogLevel) {});
    ActiveRoutes routes(
        [](const std::string& text) -> std::variant<RouteTable, FormatProblem> {
            if (text == "bad")
                return FormatProblem { "body", "not a version" };
            RouteTable table;
            table.version = std::stoull(text);
            return table;
        },
        log);
    const std::vector<std::pair<std::string, uint64_t>> steps { { "bad", 0 }, { "3", 3 }, { "2", 3 }, { "bad", 3 },
        { "3", 3 }, { "9", 9 }, { "8", 9 } };
    for (const auto& [text, expected] : steps) {
        routes.update(text, "test");
        cr_expect_eq(routes.current() ? routes.current()->version : 0, expected, "after %s", text.c_str());
    }
    cr_expect_eq(routes.text(), "9", "the newest routes must be sent to other entries");
}

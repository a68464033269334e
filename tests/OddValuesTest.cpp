/** @file OddValuesTest.cpp Tests that odd values of other writers are skipped and reported, and end no process. */
#include <sequoia/Address.h>
#include <sequoia/Configuration.h>
#include <sequoia/EntryDirectory.h>
#include <sequoia/HttpService.h>
#include <sequoia/Learned.h>
#include <sequoia/Settings.h>
#include <sequoia/Sheet.h>
#include <sequoia/Store.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

struct AddressRow {
    char name[32];
    char text[48]; ///< A host of 1,000,000 bytes if empty.
    bool isValid;
    bool isDialable;
};

ParameterizedTestParameters(Address, oddAddressesAreRejected)
{
    static AddressRow rows[] = {
        { "address", "10.0.0.1:80", true, true },
        { "name", "vm-1.example:80", true, true },
        { "IPv6", "[::1]:80", true, true },
        { "any port", "127.0.0.1:0", true, false },
        { "no port", "127.0.0.1", false, false },
        { "empty port", "127.0.0.1:", false, false },
        { "port beyond 16 bits", "127.0.0.1:70000", false, false },
        { "port beyond any type", "127.0.0.1:99999999999999999999", false, false },
        { "negative port", "127.0.0.1:-1", false, false },
        { "signed port", "127.0.0.1:+80", false, false },
        { "fraction", "127.0.0.1:80.5", false, false },
        { "no host", ":80", false, false },
        { "blank host", " :80", false, false },
        { "host with a blank", "vm 1:80", false, false },
        { "host with a line break", "vm\r\n1:80", false, false },
        { "path in the host", "vm/1:80", false, false },
        { "user in the host", "a@vm:80", false, false },
        { "no text", "\xff\xfe:80", false, false },
        { "huge host", "", false, false },
    };
    return cr_make_param_array(AddressRow, rows, sizeof(rows) / sizeof(AddressRow));
}

/** An odd address of another writer was taken for known and dialled, or threw in the HTTP client. */
ParameterizedTest(AddressRow* row, Address, oddAddressesAreRejected)
{
    const auto text = *row->text == '\0' ? std::string(1000000, 'a') + ":80" : std::string(row->text);
    cr_expect_eq(splitAddress(text).has_value(), row->isValid, "%s", row->name);
    cr_expect_eq(isDialable(text), row->isDialable, "%s", row->name);
    if (row->isDialable)
        return;
    const auto reply = makeHttpClient(text, Milliseconds(1000)).Get("/");
    cr_expect(!reply && isConnectFailure(reply.error()), "%s", row->name);
}

struct NestedTextRow {
    char name[40];
    char before[64]; ///< Text before the nested arrays, and after them.
    char after[64];
    bool isConfiguration; ///< Otherwise an entry's item.
};

ParameterizedTestParameters(Json, deepTextsAreRejected)
{
    static NestedTextRow rows[] = {
        { "configuration, revision", R"({"revision":)", "}", true },
        { "configuration, weight", R"({"revision":1,"teams":[{"name":"a","weight":)", "}]}", true },
        { "configuration, quota", R"({"revision":1,"teams":[{"name":"a","quota":)", "}]}", true },
        { "configuration, holidays", R"({"revision":1,"plan":{"holidays":[)", "]}}", true },
        { "configuration, parts", R"({"revision":1,"plan":{"parts":)", "}}", true },
        { "entry", R"({"link":"a:1","peers":"","domain":)", "}", false },
    };
    return cr_make_param_array(NestedTextRow, rows, sizeof(rows) / sizeof(NestedTextRow));
}

/** Arrays nested deeply overflowed the stack of the reader when it copied or quoted them. */
ParameterizedTest(NestedTextRow* row, Json, deepTextsAreRejected)
{
    constexpr size_t depth = 100000;
    const auto text = row->before + std::string(depth, '[') + std::string(depth, ']') + row->after;
    if (row->isConfiguration)
        cr_expect_not(parseConfiguration(text).has_value(), "%s", row->name);
    else
        cr_expect_not(parseEntryItem(text).has_value(), "%s", row->name);
}

struct LearnedRow {
    char name[40];
    char section[16];
    char item[160]; ///< JSON text of the odd value.
};

ParameterizedTestParameters(Learned, oddValuesDoNotHideOthers)
{
    static LearnedRow rows[] = {
        { "speed of another type", "speeds", "7" },
        { "speed without fields", "speeds", "{}" },
        { "negative slowness", "speeds", R"({"life":1,"slowness":-1,"samples":5})" },
        { "huge slowness", "speeds", R"({"life":1,"slowness":1e300,"samples":5})" },
        { "life beyond any clock", "speeds", R"({"life":4611686018427387904,"slowness":1,"samples":5})" },
        { "negative weight", "declared", R"({"weight":-20,"meanX":1,"meanY":1,"sumXX":1,"sumXY":1,"sumResidual":1})" },
        { "huge mean", "declared", R"({"weight":20,"meanX":1,"meanY":1e300,"sumXX":1,"sumXY":1,"sumResidual":1})" },
        { "negative residual", "undeclared",
            R"({"weight":20,"meanX":1,"meanY":1,"sumXX":1,"sumXY":1,"sumResidual":-1})" },
        { "huge mean of time-outs", "patience", R"({"requests":50,"mean":1e300,"squares":1,"shortShare":0})" },
        { "negative requests", "patience", R"({"requests":-1,"mean":1,"squares":1,"shortShare":0})" },
        { "number too large", "suspicions",
            R"({"total":99999999999,"crashes":1,"blamed":1,"hasCrashedAsSuspect":true,"ageMs":1})" },
    };
    return cr_make_param_array(LearnedRow, rows, sizeof(rows) / sizeof(LearnedRow));
}

/** One odd value hid the others of its item, or spoilt the models that it was restored to. */
ParameterizedTest(LearnedRow* row, Learned, oddValuesDoNotHideOthers)
{
    Learned learned;
    learned.speeds["good"] = { 7, 1.5, 20 };
    auto text = toText(learned);
    const auto section = std::string("\"") + row->section + "\":{";
    auto at = text.find(section);
    cr_assert_neq(at, std::string::npos);
    at += section.size();
    text.insert(at, std::string("\"odd\":") + row->item + (text[at] == '}' ? "" : ","));
    const auto read = parseLearned(text);
    cr_assert(read.has_value(), "%s", row->name);
    cr_expect_eq(read->speeds.count("good"), 1U, "%s", row->name);
    const auto odd = read->speeds.count("odd") + read->declared.count("odd") + read->undeclared.count("odd")
        + read->callerTimeouts.count("odd") + read->suspicions.count("odd");
    cr_expect_eq(odd, 0U, "%s", row->name);
}

Test(Learned, namesThatAreNoTextCanBeWritten)
{
    Learned learned;
    learned.speeds["\xff\xfe"] = { 7, 1.5, 20 };
    cr_expect(parseLearned(toText(learned)).has_value());
}

/** A store whose calls are all answered with the same text, without the faults of an HTTP server. */
class TextStore {
public:
    explicit TextStore(std::string text)
    {
        service.server().Post(".*", [text = std::move(text)](const httplib::Request&, httplib::Response& response) {
            response.set_content(text, "application/json");
        });
        store.emplace(service.start("127.0.0.1:0"), Milliseconds(5000));
    }
    ~TextStore() { service.stop(); }
    TextStore(const TextStore&) = delete;
    TextStore& operator=(const TextStore&) = delete;

    /** Where a call found a reply that it can't read; "-" if it failed otherwise, empty if it succeeded. */
    template <typename F> static std::string placeOf(F&& call)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(call());
                return std::string();
            },
            [](StoreError, const StoreReplyProblem& problem) { return problem.place; },
            [] { return std::string("-"); });
    }

    std::optional<Store> store;

private:
    HttpService service { {} };
};

struct StoreReplyRow {
    char name[40];
    char kv[100]; ///< JSON text of the odd item; arrays nested deeply if empty.
    char field[16]; ///< Where it is odd.
};

ParameterizedTestParameters(Store, oddRepliesAreReportedWithTheirPlace)
{
    static StoreReplyRow rows[] = {
        { "revision no number", R"({"key":"YQ==","value":"eA==","mod_revision":"odd"})", "mod_revision" },
        { "revision empty", R"({"key":"YQ==","value":"eA==","mod_revision":""})", "mod_revision" },
        { "revision too large", R"({"key":"YQ==","value":"eA==","mod_revision":"99999999999999999999"})",
            "mod_revision" },
        { "number too large", R"({"key":"YQ==","value":"eA==","mod_revision":18446744073709551615})", "mod_revision" },
        { "fraction", R"({"key":"YQ==","value":"eA==","mod_revision":1.5})", "mod_revision" },
        { "revision of another type", R"({"key":"YQ==","value":"eA==","mod_revision":[]})", "mod_revision" },
        { "key of another type", R"({"key":7,"value":"eA==","mod_revision":"1"})", "key" },
        { "value of another type", R"({"key":"YQ==","value":{},"mod_revision":"1"})", "value" },
        { "no object", "7", "" },
        { "nested deeply", "", "" },
    };
    return cr_make_param_array(StoreReplyRow, rows, sizeof(rows) / sizeof(StoreReplyRow));
}

/** An odd revision threw in the thread that watches the store, which ended the entry. */
ParameterizedTest(StoreReplyRow* row, Store, oddRepliesAreReportedWithTheirPlace, .timeout = 60)
{
    const std::string odd = *row->kv == '\0' ? std::string(100000, '[') + std::string(100000, ']') : row->kv;
    const std::string good = R"({"key":"Yg==","value":"eQ==","mod_revision":"2"})";
    TextStore listed(R"({"kvs":[)" + odd + "," + good + "]}");
    cr_expect_eq(TextStore::placeOf([&] { return listed.store->get("a"); }), std::string("kvs[0].") + row->field, "%s",
        row->name);
    cr_expect_eq(TextStore::placeOf([&] { return listed.store->list("a"); }), std::string("kvs[0].") + row->field, "%s",
        row->name);
    TextStore watched(R"({"result":{"events":[{"kv":)" + odd + R"(},{"kv":)" + good + "}]}}\n");
    std::vector<StoreChange> changes;
    const auto place = TextStore::placeOf([&] {
        return watched.store->watch(
            "a", [&](const StoreChange& change) { changes.push_back(change); }, [] { return false; });
    });
    cr_expect_eq(place, std::string("result.events[0].kv.") + row->field, "%s", row->name);
    cr_assert_eq(changes.size(), 1U, "%s: the change that can be read is reported", row->name);
    cr_expect_eq(changes.front().key, "b", "%s", row->name);
}

struct StoreTextRow {
    char name[40];
    char text[64];
};

ParameterizedTestParameters(Store, oddTextsEndNoWatch)
{
    static StoreTextRow rows[] = {
        { "no JSON", "odd" },
        { "no object", "7" },
        { "result of another type", R"({"result":7})" },
        { "events of another type", R"({"result":{"events":7}})" },
        { "event of another type", R"({"result":{"events":[7]}})" },
        { "event without an item", R"({"result":{"events":[{}]}})" },
        { "kind of another type", R"({"result":{"events":[{"kv":{},"type":7}]}})" },
    };
    return cr_make_param_array(StoreTextRow, rows, sizeof(rows) / sizeof(StoreTextRow));
}

ParameterizedTest(StoreTextRow* row, Store, oddTextsEndNoWatch, .timeout = 60)
{
    TextStore watched(std::string(row->text) + "\n");
    std::vector<StoreChange> changes;
    TextStore::placeOf([&] {
        return watched.store->watch(
            "a", [&](const StoreChange& change) { changes.push_back(change); }, [] { return false; });
    });
    cr_expect(changes.empty(), "%s", row->name);
    TextStore::placeOf([&] { return watched.store->grantLease(std::chrono::seconds(1)); });
    TextStore::placeOf([&] { return watched.store->renewLease(LeaseId(1)); });
    TextStore::placeOf([&] { return watched.store->compareAndSwap("a", {}, {}); });
}

/** A name that is no text ended the entry when it registered itself, as JSON can't hold it. */
Test(Settings, valuesThatAreNoTextAreRejected)
{
    boost::leaf::try_handle_all(
        []() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(loadSettings(entrySettingRows(), "", { "name=\xff\xfe" }));
            cr_expect_fail("the name was accepted");
            return {};
        },
        [](const SettingsError& error) {
            cr_assert_eq(error.problems.size(), 1U);
            cr_expect_eq(error.problems.front().key, "name");
        },
        [] { cr_expect_fail("another error"); });
}

struct PartRow {
    char name[40];
    char rule[24];
    bool isRead;
};

ParameterizedTestParameters(Sheet, oddRulesOfPartsAreRejected)
{
    static PartRow rows[] = { { "rule", "1", true }, { "unknown rule", "3", false }, { "negative rule", "-1", false },
        { "rule beyond 8 bits", "257", false }, { "rule beyond 32 bits", "4294967297", false } };
    return cr_make_param_array(PartRow, rows, sizeof(rows) / sizeof(PartRow));
}

/** A rule that doesn't exist was cut to 8 bits, and so taken for another one. */
ParameterizedTest(PartRow* row, Sheet, oddRulesOfPartsAreRejected)
{
    const auto part
        = std::string(R"(["2026-12-08","crew","route","visit","team","kind",true,)") + row->rule + ",\"\"]\n";
    cr_expect_eq(unpackRows(part).has_value(), row->isRead, "%s", row->name);
}

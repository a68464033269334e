/** @file CodecTest.cpp Tests the codec with valid messages, malformed ones, and random mutations of valid ones. */
#include <Codec.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <random>
#include <sequoia/generated/Messages_generated.h>

using namespace sequoia;
using namespace sequoia::platform;

namespace {

const std::string goodJob
    = R"({"spec":"x","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
      R"("affinity":"r1-3"},{"cpu":2000,"after":[0],"max_per_server":2,"required_label":"a"}]})";
const std::string goodPing
    = R"({"service":"s","address":"10.1.1.1:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":17,"seq":4})";
const std::string goodListing = R"({"clock_ms":48,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],)"
                                R"("ended":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""]]})";
const std::string goodConfiguration
    = R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/","slo_ms":60,"timeout_ms":1500,"priority":2,)"
      R"("service":"s","max_attempts":4,"stretch":1.6}],"services":[],"limits":{}})";
const std::string goodItems
    = R"({"items":[{"key":"op/config","value":"bm9kZS0x","revision":412,"created":412,"lease":0}],"truncated":true,)"
      R"("current_rev":530})";

/** A text with a part of it replaced, which it has to have. */
std::string replaced(std::string text, const std::string& from, const std::string& to, const char* name)
{
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos, "%s", name);
    return text.replace(at, from.size(), to);
}

/** The JSON text of a row; arrays nested deeply if it is empty. */
std::string oddText(const char* text)
{
    return *text == '\0' ? std::string(100000, '[') + std::string(100000, ']') : text;
}

template <typename T> std::string problemPlace(const Decoded<T>& decoded)
{
    const auto* error = std::get_if<FormatProblem>(&decoded);
    return error == nullptr ? "" : error->place;
}

} // namespace

Test(Codec, decodesAJob)
{
    const auto decoded = decodeJob(WorkId(1), goodJob, {});
    cr_assert(std::holds_alternative<WorkSpec>(decoded), "%s", problemPlace(decoded).c_str());
    const auto& job = std::get<WorkSpec>(decoded);
    cr_assert_eq(job.steps.size(), 2U);
    cr_expect_eq(job.steps[0].count, 4U);
    cr_expect_eq(job.steps[0].resources.cpu, 500);
    cr_expect_eq(job.steps[0].estimate.count(), 900);
    cr_expect_eq(job.steps[0].preferredLabel, "r1-3");
    cr_expect_eq(job.steps[1].count, 1U);
    cr_expect_eq(job.steps[1].dependsOn.size(), 1U);
    cr_expect_eq(job.steps[1].maxPerServer, 2U);
    cr_expect_eq(job.steps[1].requiredLabel, "a");
}

struct JobRow {
    char text[200];
    char place[32]; ///< Expected place of the problem.
};

ParameterizedTestParameters(Codec, reportsThePlaceOfAnError)
{
    static JobRow rows[] = {
        { "", "body" },
        { "[]", "body" },
        { "{\"best_effort\":true}", "steps" },
        { "{\"steps\":[{\"cpu\":1}]}", "best_effort" },
        { "{\"best_effort\":1,\"steps\":[{}]}", "best_effort" },
        { "{\"best_effort\":true,\"spec\":7,\"steps\":[{}]}", "spec" },
        { "{\"best_effort\":true,\"steps\":[]}", "steps" },
        { "{\"best_effort\":true,\"steps\":[7]}", "steps[0]." },
        { "{\"best_effort\":true,\"steps\":[{\"count\":0}]}", "steps[0].count" },
        { "{\"best_effort\":true,\"steps\":[{\"count\":1e9}]}", "steps[0].count" },
        { "{\"best_effort\":true,\"steps\":[{\"cpu\":-1}]}", "steps[0].cpu" },
        { "{\"best_effort\":true,\"steps\":[{\"cpu\":18446744073709551615}]}", "steps[0].cpu" },
        { "{\"best_effort\":true,\"steps\":[{},{\"after\":[1]}]}", "steps[1].after" },
        { "{\"best_effort\":true,\"steps\":[{\"gang\":true}]}", "steps[0].gang" },
        { "{\"best_effort\":true,\"repeats\":2,\"steps\":[{}]}", "repeats" },
    };
    return cr_make_param_array(JobRow, rows, sizeof(rows) / sizeof(JobRow));
}

ParameterizedTest(JobRow* row, Codec, reportsThePlaceOfAnError)
{
    cr_expect_eq(problemPlace(decodeJob(WorkId(1), row->text, {})), std::string(row->place), "%s: %s", row->text,
        problemPlace(decodeJob(WorkId(1), row->text, {})).c_str());
}

struct IdRow {
    char text[24];
    bool isGood;
};

ParameterizedTestParameters(Codec, jobIdsHaveSixteenDigits)
{
    static IdRow rows[] = { { "5c0e7a21d94b36f8", true }, { "5C0E7A21D94B36F8", true }, { "5c0e7a21d94b36f", false },
        { "5c0e7a21d94b36f88", false }, { "5c0e7a21d94b36fg", false }, { "-c0e7a21d94b36f8", false }, { "", false } };
    return cr_make_param_array(IdRow, rows, sizeof(rows) / sizeof(IdRow));
}

ParameterizedTest(IdRow* row, Codec, jobIdsHaveSixteenDigits)
{
    cr_expect_eq(parseWorkId(row->text).has_value(), row->isGood, "%s", row->text);
}

Test(Codec, decodesServerReportsAndListings)
{
    const auto ping = decodeServerReport("i-1", goodPing);
    cr_assert(std::holds_alternative<ServerReport>(ping), "%s", problemPlace(ping).c_str());
    const auto& report = std::get<ServerReport>(ping);
    cr_expect_eq(report.startedMs, 17);
    cr_expect_eq(report.total.cpu, 16000);
    cr_expect_eq(report.labels.size(), 2U);
    cr_expect_not(report.isDraining);

    const auto decoded = decodeListing(goodListing);
    cr_assert(std::holds_alternative<Listing>(decoded), "%s", problemPlace(decoded).c_str());
    const auto& listing = std::get<Listing>(decoded);
    cr_expect_eq(raw(listing.running[0].id.task.index), 17);
    cr_expect_eq(raw(listing.running[0].id.run), 2U);
    cr_expect_eq(listing.ended[0].number, 58U);
    cr_expect(listing.ended[0].kind == EndKind::Done);
    cr_expect_eq(decodeServerReply(R"({"clock_ms":5,"reason":"late"})").reason, "late");
}

struct IdCaseRow {
    char text[24];
};

ParameterizedTestParameters(Codec, jobIdsKeepTheCaseOfTheirLetters)
{
    static IdCaseRow rows[] = { { "5c0e7a21d94b36f8" }, { "5C0E7A21D94B36F8" }, { "ABCDEFabcdef0123" },
        { "F00000000000000a" }, { "f00000000000000A" }, { "0000000000000000" } };
    return cr_make_param_array(IdCaseRow, rows, sizeof(rows) / sizeof(IdCaseRow));
}

// Guards against tasks that a backend server gets under another id than the caller's (UNASKED).
ParameterizedTest(IdCaseRow* row, Codec, jobIdsKeepTheCaseOfTheirLetters)
{
    const auto id = parseWorkId(row->text);
    cr_assert(id.has_value(), "%s", row->text);
    cr_expect_eq(toString(*id), std::string(row->text));
    const TaskId task { *id, StepIndex(1), TaskIndex(17) };
    cr_expect(parseTaskId(toString(task)) == task, "%s", row->text);
    const auto name = fmt::format("\"{}.0.1.17\"", row->text);
    StartRun start;
    start.id = { task, RunNumber(2) };
    cr_expect_neq(encodeStart(start, Milliseconds(1)).find(name), std::string::npos, "%s", row->text);
    const auto listing = decodeListing(replaced(goodListing, "\"5c0e7a21d94b36f8.0.1.17\"", name, row->text));
    cr_assert(std::holds_alternative<Listing>(listing), "%s", row->text);
    cr_expect(std::get<Listing>(listing).running.at(0).id == start.id, "%s", row->text);
}

struct UpperCaseRow {
    char name[40];
    uint16_t upperCase[3]; ///< Of the jobs of three runs.
    size_t listed; ///< Expected length of the list in the message.
};

ParameterizedTestParameters(Codec, messagesTellTheCaseOfSeveralIds)
{
    static UpperCaseRow rows[] = { { "all in lower case", { 0, 0, 0 }, 0 }, { "the first one", { 1, 0, 0 }, 1 },
        { "the last one", { 0, 0, 0x8000 }, 3 }, { "all", { 1, 2, 3 }, 3 } };
    return cr_make_param_array(UpperCaseRow, rows, sizeof(rows) / sizeof(UpperCaseRow));
}

ParameterizedTest(UpperCaseRow* row, Codec, messagesTellTheCaseOfSeveralIds)
{
    std::vector<RunId> runs;
    std::vector<wire::RunId> ids;
    std::vector<uint16_t> upperCase;
    for (const auto it : row->upperCase) {
        runs.push_back({ { WorkId(0xab, it), StepIndex(1), TaskIndex(2) }, RunNumber(3) });
        addRun(runs.back(), ids, upperCase);
    }
    cr_expect_eq(upperCase.size(), row->listed, "%s", row->name);
    cr_expect(runsOf(ids, upperCase) == runs, "%s", row->name);
}

struct PingRow {
    char name[32];
    char from[40]; ///< Text of a valid ping that is replaced.
    char to[40];
    char place[16];
};

ParameterizedTestParameters(Codec, malformedPingsAreRejected)
{
    static PingRow rows[] = {
        { "no start time", "\"born\":17,", "", "born" },
        { "start time no integer", "\"born\":17", "\"born\":1.5", "born" },
        { "unknown state", "\"ready\"", "\"resting\"", "state" },
        { "start beyond any clock", "\"born\":17", "\"born\":4611686018427387904", "born" },
        { "sequence beyond any count", "\"seq\":4", "\"seq\":9223372036854775807", "seq" },
        { "no service", "\"service\":\"s\",", "", "service" },
        { "no capacity", "\"capacity\"", "\"capacities\"", "capacity" },
        { "labels of another type", "[\"a\",\"r1-3\"]", "[1]", "labels" },
    };
    return cr_make_param_array(PingRow, rows, sizeof(rows) / sizeof(PingRow));
}

ParameterizedTest(PingRow* row, Codec, malformedPingsAreRejected)
{
    const auto text = replaced(goodPing, row->from, row->to, row->name);
    cr_expect_eq(problemPlace(decodeServerReport("i-1", text)), std::string(row->place), "%s", row->name);
}

Test(Codec, decodesAConfigurationAndItems)
{
    const auto decoded = decodeConfiguration(goodConfiguration);
    cr_assert(std::holds_alternative<RouteTable>(decoded), "%s", problemPlace(decoded).c_str());
    const auto& table = std::get<RouteTable>(decoded);
    cr_expect_eq(table.version, 7U);
    cr_expect_eq(table.routes[0].policy.maxFailures, 4U);
    cr_expect(table.find(HostName("H.example:80"), "/p/1") != nullptr);
    cr_expect(table.find(HostName("h.example"), "/q/1") == nullptr);
    bool isTruncated = false;
    const auto items = decodeItems(goodItems, &isTruncated);
    cr_assert(std::holds_alternative<SharedItems>(items), "%s", problemPlace(items).c_str());
    cr_expect(isTruncated);
    cr_expect_eq(std::get<SharedItems>(items).items[0].value, "node-1");
    cr_expect(encodePut("k", "node-1", StoreLease(5)).find("bm9kZS0x") != std::string::npos);
}

struct HostRow {
    char name[40];
    char configured[24];
    char requested[32];
    bool isFound;
};

ParameterizedTestParameters(Codec, configuredHostsMatchInAnySpelling)
{
    static HostRow rows[] = {
        { "capital in both", "Ficu95.example", "Ficu95.example", true },
        { "capital in the configuration", "Ficu95.Example", "ficu95.example", true },
        { "capital in the request", "ficu95.example", "FICU95.example", true },
        { "capital in both, port in the request", "Ficu95.example", "Ficu95.example:8161", true },
        { "port in the configuration", "ficu95.example:8161", "ficu95.example:8161", true },
        { "IPv6 address", "[FE80::1]", "[fe80::1]:8161", true },
        { "another IPv6 address", "[fe80::1]", "[fe80::2]", false },
        { "another host", "Ficu95.example", "Ficu96.example", false },
        { "any host in the configuration", "", "Ficu95.example", true },
        { "no host in the request", "Ficu95.example", "", false },
    };
    return cr_make_param_array(HostRow, rows, sizeof(rows) / sizeof(HostRow));
}

// Guards against 404 for good on routes whose host has a capital letter (CONFIG).
ParameterizedTest(HostRow* row, Codec, configuredHostsMatchInAnySpelling)
{
    const auto host = fmt::format("\"{}\"", row->configured);
    const auto decoded = decodeConfiguration(replaced(goodConfiguration, "\"h.example\"", host, row->name));
    cr_assert(std::holds_alternative<RouteTable>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
    const auto* route = std::get<RouteTable>(decoded).find(HostName(row->requested), "/p/1");
    cr_expect_eq(route != nullptr, row->isFound, "%s", row->name);
}

struct OddItemRow {
    char name[40];
    char item[160]; ///< JSON text of the odd item; arrays nested deeply if empty.
    bool isRemoval; ///< Whether the item is taken for a removal of its key.
};

ParameterizedTestParameters(Codec, oddItemsDoNotHideOthers)
{
    static OddItemRow rows[] = {
        { "no object", "7", false },
        { "nested deeply", "", false },
        { "no key", R"({"value":"eA==","revision":1})", false },
        { "key of another type", R"({"key":7,"value":"eA==","revision":1})", false },
        { "value no base64", R"({"key":"p/odd","value":"*?","revision":1})", true },
        { "value of another type", R"({"key":"p/odd","value":[1],"revision":1})", true },
        { "revision too large", R"({"key":"p/odd","value":"eA==","revision":123456789012345678901})", true },
        { "negative revision", R"({"key":"p/odd","value":"eA==","revision":-1})", true },
        { "fractional revision", R"({"key":"p/odd","value":"eA==","revision":1.5})", true },
        { "removed of another type", R"({"key":"p/odd","value":"eA==","revision":1,"removed":1})", true },
    };
    return cr_make_param_array(OddItemRow, rows, sizeof(rows) / sizeof(OddItemRow));
}

/** One odd item made the store's whole page unreadable, so that nothing under the prefix was followed any more. */
ParameterizedTest(OddItemRow* row, Codec, oddItemsDoNotHideOthers)
{
    const std::string odd = oddText(row->item);
    for (const auto* list : { "items", "events" }) {
        const auto text = R"({"current_rev":9,")" + std::string(list)
            + R"(":[{"key":"p/a","value":"eA==","revision":1},)" + odd
            + R"(,{"key":"p/z","value":"eQ==","revision":2}]})";
        const auto decoded = decodeItems(text, nullptr);
        cr_assert(std::holds_alternative<SharedItems>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
        cr_expect_eq(std::get<SharedItems>(decoded).problems.size(), 1U, "%s", row->name);
        const auto& items = std::get<SharedItems>(decoded).items;
        cr_assert_eq(items.size(), row->isRemoval ? 3U : 2U, "%s: %zu items", row->name, items.size());
        cr_expect_eq(items.front().value + items.back().value, "xy", "%s", row->name);
        if (row->isRemoval)
            cr_expect(items[1].isRemoved && items[1].key == "p/odd", "%s", row->name);
    }
}

struct EvacuationItemRow {
    char name[40];
    char item[96]; ///< JSON text of the item.
    bool isRemoval;
};

ParameterizedTestParameters(Codec, onlyTheKeyOfAnEvacuationCounts)
{
    static EvacuationItemRow rows[] = {
        { "any value", R"({"key":"op/evacuate/odd","value":"eA==","revision":1})", false },
        { "value of another type", R"({"key":"op/evacuate/odd","value":[1],"revision":1})", false },
        { "no value", R"({"key":"op/evacuate/odd","revision":1})", false },
        { "no revision", R"({"key":"op/evacuate/odd","value":""})", false },
        { "removed of another type", R"({"key":"op/evacuate/odd","revision":1,"removed":7})", false },
        { "removed", R"({"key":"op/evacuate/odd","revision":1,"removed":true})", true },
        { "removed, odd revision", R"({"key":"op/evacuate/odd","revision":-1,"removed":true})", true },
    };
    return cr_make_param_array(EvacuationItemRow, rows, sizeof(rows) / sizeof(EvacuationItemRow));
}

/** The operators may write anything as the value: an item that can't be read would be taken for a withdrawn request. */
ParameterizedTest(EvacuationItemRow* row, Codec, onlyTheKeyOfAnEvacuationCounts)
{
    const auto decoded = decodeItems(R"({"current_rev":9,"items":[)" + std::string(row->item) + "]}", nullptr);
    cr_assert(std::holds_alternative<SharedItems>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
    const auto& items = std::get<SharedItems>(decoded).items;
    cr_assert_eq(items.size(), 1U, "%s", row->name);
    cr_expect_eq(items[0].key, "op/evacuate/odd", "%s", row->name);
    cr_expect_eq(items[0].isRemoved, row->isRemoval, "%s", row->name);
}

struct OddListingRow {
    char name[40];
    char from[48]; ///< Text of a valid listing that is replaced.
    char to[64];
    char place[16];
};

ParameterizedTestParameters(Codec, oddListingsAreRejected)
{
    static OddListingRow rows[] = {
        { "running of another type", "\"running\":[[", "\"running\":7,\"rows\":[[", "running" },
        { "no ended", "\"ended\"", "\"end\"", "ended" },
        { "start beyond any clock", "\"born\":17", "\"born\":4611686018427387904", "born" },
        { "negative start", "\"born\":17", "\"born\":-1", "born" },
        { "clock beyond any clock", "\"clock_ms\":48", "\"clock_ms\":9223372036854775807", "clock_ms" },
    };
    return cr_make_param_array(OddListingRow, rows, sizeof(rows) / sizeof(OddListingRow));
}

/** A listing without its lists, or that doesn't tell its process and time, proves nothing. */
ParameterizedTest(OddListingRow* row, Codec, oddListingsAreRejected)
{
    const auto text = replaced(goodListing, row->from, row->to, row->name);
    cr_expect_eq(problemPlace(decodeListing(text)), std::string(row->place), "%s", row->name);
}

/** The percent of a listed run; an odd one must not hide the run, nor count as progress. */
struct PercentRow {
    char name[24];
    char row[48]; ///< What follows task and run.
    int percent; ///< -1 if it is unknown.
};

ParameterizedTestParameters(Codec, percentsOfRunsAreRead)
{
    static PercentRow rows[] = { { "some", R"(,"",41)", 41 }, { "none of it", R"(,"",0)", 0 },
        { "all of it", R"(,"",100)", 100 }, { "more fields behind", R"(,"",7,"x",1)", 7 }, { "absent", R"(,"")", -1 },
        { "no fields", "", -1 }, { "above", R"(,"",101)", -1 }, { "negative", R"(,"",-1)", -1 },
        { "fraction", R"(,"",4.5)", -1 }, { "text", R"(,"","41")", -1 }, { "null", R"(,"",null)", -1 },
        { "beyond 32 bits", R"(,"",4294967297)", -1 } };
    return cr_make_param_array(PercentRow, rows, sizeof(rows) / sizeof(PercentRow));
}

ParameterizedTest(PercentRow* row, Codec, percentsOfRunsAreRead)
{
    const auto decoded = decodeListing(R"({"clock_ms":48,"born":17,"ended":[],"running":[["5c0e7a21d94b36f8.0.1.17",2)"
        + std::string(row->row) + "]]}");
    cr_assert(std::holds_alternative<Listing>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
    const auto& running = std::get<Listing>(decoded).running;
    cr_assert_eq(running.size(), 1U, "%s", row->name);
    cr_expect_eq(
        running.front().percent ? static_cast<int>(*running.front().percent) : -1, row->percent, "%s", row->name);
}

struct OddRunRow {
    char name[40];
    bool isEnded; ///< Otherwise a row of a run in progress.
    char row[96]; ///< JSON text of the odd row; arrays nested deeply if empty.
};

ParameterizedTestParameters(Codec, oddRowsOfListingsAreCounted)
{
    static OddRunRow rows[] = {
        { "run too large", false, R"(["5c0e7a21d94b36f8.0.1.17",4294967298,"",41])" },
        { "negative run", false, R"(["5c0e7a21d94b36f8.0.1.17",-2,"",41])" },
        { "fractional run", false, R"(["5c0e7a21d94b36f8.0.1.17",2.5,"",41])" },
        { "no task", false, R"([7,2,"",41])" },
        { "task of an occurrence", false, R"(["5c0e7a21d94b36f8.3.1.17",2,"",41])" },
        { "no row", false, "7" },
        { "empty row", false, "[]" },
        { "object", false, "{}" },
        { "nested deeply", false, "" },
        { "run too large", true, R"([58,"5c0e7a21d94b36f8.0.0.9",4294967297,"done",""])" },
        { "number beyond any type", true, R"([123456789012345678901,"5c0e7a21d94b36f8.0.0.9",1,"done",""])" },
        { "number beyond any count", true, R"([9223372036854775807,"5c0e7a21d94b36f8.0.0.9",1,"done",""])" },
        { "negative number", true, R"([-58,"5c0e7a21d94b36f8.0.0.9",1,"done",""])" },
        { "kind of another type", true, R"([58,"5c0e7a21d94b36f8.0.0.9",1,1,""])" },
        { "short row", true, R"([58,"5c0e7a21d94b36f8.0.0.9",1])" },
        { "no row", true, "null" },
        { "nested deeply", true, "" },
    };
    return cr_make_param_array(OddRunRow, rows, sizeof(rows) / sizeof(OddRunRow));
}

/** One odd row made the whole listing count as unanswered. */
ParameterizedTest(OddRunRow* row, Codec, oddRowsOfListingsAreCounted)
{
    const std::string odd = oddText(row->row);
    const std::string first
        = row->isEnded ? R"([57,"5c0e7a21d94b36f8.0.0.8",1,"done",""])" : R"(["5c0e7a21d94b36f8.0.1.16",2,"",41])";
    const std::string last
        = row->isEnded ? R"([59,"5c0e7a21d94b36f8.0.0.10",1,"failed",""])" : R"(["5c0e7a21d94b36f8.0.1.18",2,"",41])";
    const auto rows = "[" + first + "," + odd + "," + last + "]";
    const auto decoded = decodeListing(R"({"clock_ms":48,"born":17,"running":)" + (row->isEnded ? "[]" : rows)
        + R"(,"ended":)" + (row->isEnded ? rows : "[]") + "}");
    cr_assert(std::holds_alternative<Listing>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
    const auto& listing = std::get<Listing>(decoded);
    cr_expect_eq(listing.running.size(), row->isEnded ? 0U : 2U, "%s", row->name);
    cr_expect_eq(listing.unreadableRunning.size(), row->isEnded ? 0U : 1U, "%s", row->name);
    cr_expect_eq(listing.ended.size(), row->isEnded ? 2U : 0U, "%s", row->name);
    cr_expect_eq(listing.unreadableEnded, row->isEnded ? 1U : 0U, "%s", row->name);
}

struct OddTextRow {
    char name[40];
    char value[32]; ///< JSON text of a value that no reader of JSON accepts; a number of 1,000 digits if empty.
};

ParameterizedTestParameters(Codec, valuesThatAreNoJsonHideNoOthers)
{
    static OddTextRow rows[] = {
        { "bytes that are no text", "\"odd\xff\xfe\"" },
        { "cut character", "\"\xc3\"" },
        { "control character", "\"odd\x01\"" },
        { "line break", "\"odd\n\"" },
        { "half of a pair", "\"\\ud800\"" },
        { "unknown escape", "\"\\x41\"" },
        { "quote beside bytes that are no text", "\"\xff\\\"],[\"" },
        { "backslash beside bytes that are no text", "\"\xff\\\\\"" },
        { "number beyond any type", "1e400" },
        { "negative number beyond any type", "-1E+999" },
        { "number of many digits", "" },
    };
    return cr_make_param_array(OddTextRow, rows, sizeof(rows) / sizeof(OddTextRow));
}

/** One such value made the whole listing, reply or page of the store unreadable. */
ParameterizedTest(OddTextRow* row, Codec, valuesThatAreNoJsonHideNoOthers)
{
    const auto odd = *row->value == '\0' ? std::string(1000, '9') : std::string(row->value);
    for (const auto* text : { R"(["5c0e7a21d94b36f8.0.1.17",%,"",41])", R"([%,2,"",41])" }) {
        const auto oddRow = replaced(text, "%", odd, row->name);
        const auto body = R"({"running":[["5c0e7a21d94b36f8.0.1.16",2,"",41],)" + oddRow
            + R"(,["5c0e7a21d94b36f8.0.1.18",2,"",41]],"ended":[],"clock_ms":48,"born":17})";
        const auto decoded = decodeListing(body);
        cr_assert(std::holds_alternative<Listing>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
        cr_expect_eq(std::get<Listing>(decoded).running.size(), 2U, "%s", row->name);
        cr_expect_eq(std::get<Listing>(decoded).unreadableRunning.size(), 1U, "%s", row->name);
        cr_expect(decodeServerReply(body).clock.has_value(), "%s", row->name);
    }
    const auto page
        = R"({"current_rev":9,"items":[{"key":"p/a","value":"eA==","revision":1},{"key":"p/odd","value":"",)"
          R"("revision":1,"odd":)"
        + odd + R"(},{"key":"p/z","value":"eQ==","revision":2}]})";
    const auto decoded = decodeItems(page, nullptr);
    cr_assert(std::holds_alternative<SharedItems>(decoded), "%s: %s", row->name, problemPlace(decoded).c_str());
    const auto& items = std::get<SharedItems>(decoded).items;
    cr_assert_eq(items.size(), 3U, "%s", row->name);
    cr_expect_eq(items.front().key + items.back().key, "p/ap/z", "%s", row->name);
    cr_expect_eq(items.front().value + items.back().value, "xy", "%s", row->name);
}

Test(Codec, oddRowsAreToldApartByTaskAndRun)
{
    const auto rowOf = [](const std::string& row) {
        const auto decoded = decodeListing(R"({"clock_ms":48,"born":17,"ended":[],"running":[)" + row + "]}");
        const auto* listing = std::get_if<Listing>(&decoded);
        return listing == nullptr || listing->unreadableRunning.size() != 1 ? "" : listing->unreadableRunning.front();
    };
    const auto row = rowOf(R"(["odd",2,"",41])");
    cr_expect_neq(row, "");
    cr_expect_eq(rowOf(R"(["odd",2,"saved",42])"), row, "its progress doesn't make it another row");
    cr_expect_neq(rowOf(R"(["odd",3,"",41])"), row);
    cr_expect_neq(rowOf(R"(["odder",2,"",41])"), row);
}

Test(Codec, oddClocksOfServerRepliesAreIgnored)
{
    for (const auto* clock : { "9223372036854775807", "18446744073709551615", "-1", "1e400", "1.5", "[]" })
        cr_expect_not(decodeServerReply(std::string("{\"clock_ms\":") + clock + "}").clock.has_value(), "%s", clock);
}

Test(Codec, mutatedTextsAreDecodedOrRejected, .timeout = 60)
{
    std::mt19937 random(1); // A fixed seed, so that the test is repeatable.
    const std::string alphabet = "{}[]\",:0123456789.-eEtruefalsnul \\\x01\xff";
    const std::vector<std::string> texts { goodJob, goodPing, goodListing, goodConfiguration, goodItems };
    size_t refused = 0;
    for (int i = 0; i < 20000; ++i) {
        auto text = texts[static_cast<size_t>(i) % texts.size()];
        for (auto n = 1 + random() % 4; n > 0; --n) {
            const auto at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = alphabet[random() % alphabet.size()];
                break;
            case 1:
                text.erase(at, 1 + random() % 8);
                break;
            default:
                text.insert(at, text.substr(random() % text.size(), random() % 16));
            }
            if (text.empty())
                text = "0";
        }
        // No decoder may throw or crash on any text.
        const auto job = decodeJob(WorkId(1), text, {});
        refused += std::holds_alternative<FormatProblem>(job) ? 1 : 0;
        decodeServerReport("i", text);
        decodeListing(text);
        decodeConfiguration(text);
        decodeItems(text, nullptr);
        decodeLease(text);
        decodeServerReply(text);
    }
    cr_expect_gt(refused, 0U);
}

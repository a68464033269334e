/** @file case.cpp The operator adds a route whose host has a capital letter. Clients send exactly this host. */
#include "../6/Standins.h"

using namespace review;

namespace {

constexpr auto service = "huvo11a";
constexpr int64_t configMs = 2000;
constexpr int64_t marginMs = 100; ///< For the time that this program needs itself.
constexpr auto oldHost = "nony24.example";

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc != 2)
        return couldNotRun;
    Record record(std::string(argv[1]) + "/record.txt");
    Deployment deployment(3, { service, service }, record);
    auto routes = Json::array({ deployment.route("r-0", oldHost, "/lohu930/", service) });
    deployment.store->write("op/config", deployment.configuration(7, routes));
    if (!deployment.start())
        return couldNotRun;
    sleepMs(4000);
    const std::string host = isTroublePlayed() ? "Ficu95.example" : "ficu95.example";
    const std::string prefix = "/pufi791/";
    routes.push_back(deployment.route("r-1", host, prefix, service));
    deployment.store->write("op/config", deployment.configuration(9, routes));
    const auto acknowledgedAt = Clock::now();
    record.line("the new route has host ", host, " and prefix ", prefix);
    int broken = 0;
    int n = 0;
    while (msSince(acknowledgedAt) < 8000) {
        for (const auto& ip : deployment.entryIps) {
            const bool isBound = msSince(acknowledgedAt) > configMs + marginMs;
            const auto id = "5c0e7a21d94b" + std::to_string(1000 + n++);
            const auto answer = callEntry(
                ip, deployment.frontPort, "POST", prefix + id, host, Deployment::job("fill " + id, 1, 50), 1500);
            record.line("POST ", prefix, id, " Host: ", host, " to ", ip, " ", msSince(acknowledgedAt),
                " ms after the ack: ", answer.status, " ", answer.body);
            if (!isBound || answer.status != 404)
                continue;
            ++broken;
            record.line("CONFIG: refused with 404 though the route is there");
        }
        sleepMs(400);
    }
    record.line("requests refused against the rule: ", broken);
    return broken > 0 ? ruleBroken : ruleHeld;
}

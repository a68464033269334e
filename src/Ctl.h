/** @file Ctl.h Options and commands of sequoiactl. */
#pragma once

#include <sequoia/CommandLine.h>
#include <sequoia/Configuration.h>

#include <string>
#include <vector>

namespace sequoia {

/** Everything that the command line says. */
struct CtlOptions {
    std::vector<std::string> words; ///< Command and its arguments.
    std::string store; ///< Address of the platform's store.
    std::string entry; ///< HTTP address of any entry.
    std::string cluster;
    std::string token;
    std::string author;
    SheetFormat format;
    std::string day;
    std::string filter; ///< Time line: events whose fields contain it.
    uint64_t since = 0; ///< Time line: stamp in µs.
    std::string output; ///< text, json or html.
    std::vector<std::string> before; ///< Log files of a run to compare with.
    std::string today; ///< Replaces the date of the system's clock.
    Milliseconds wait { 0 };
    bool isDryRun = false;
    bool mayRemove = false;
    bool isWatching = false;
};

/** One command: its words, what it does, and the function that does it. */
struct CtlCommand {
    std::vector<std::string> words; ///< Fixed words; arguments follow.
    std::string arguments; ///< For the help text.
    size_t argumentCount = 0;
    std::string help;
    std::function<ExitCode(const CtlOptions&)> run;
    bool isVariadic = false; ///< Further arguments may follow.
};

/** Commands on the sheet and the holidays. */
std::vector<CtlCommand> sheetCommands();
/** Commands on the configuration. */
std::vector<CtlCommand> configCommands();
/** Commands on logs. */
std::vector<CtlCommand> logCommands();
/** Commands on the running processes. */
std::vector<CtlCommand> clusterCommands();

/** The day on which the command runs. */
Day todayOf(const CtlOptions& options);

/** Runs a call and prints its error, with the exit code for it. */
ExitCode reportErrors(const std::function<boost::leaf::result<ExitCode>()>& call);

/** Reads a whole file, `-` for standard input; empty if it can't be read. */
std::optional<std::string> readFile(const std::string& path);

/** An entry of the cluster, from any entry or from the store. */
struct KnownEntry {
    std::string name;
    std::string http;
};
std::vector<KnownEntry> knownEntries(const CtlOptions& options);

} // namespace sequoia

/** @file Ctl.h Options and commands of sequoiactl. */
#pragma once

#include <sequoia/CommandLine.h>
#include <sequoia/Configuration.h>

#include <string>
#include <vector>

namespace sequoia {

/** Arguments and options of the command line. */
struct CtlOptions {
    std::vector<std::string> words; ///< The command and its arguments.
    std::string store; ///< Address of the platform's store.
    std::string entry; ///< HTTP address of any entry.
    std::string cluster;
    std::string token;
    std::string author;
    SheetFormat format;
    std::string day;
    std::string filter; ///< Time line: only events with a field that contains it.
    uint64_t since = 0; ///< Time line: only events after this time stamp, µs.
    std::string output; ///< `text`, `json` or `html`.
    std::vector<std::string> before; ///< Log files of a run to compare with.
    std::string today; ///< `YYYY-MM-DD`; replaces the date of the system clock if set.
    Milliseconds wait { 0 };
    bool isDryRun = false;
    bool mayRemove = false;
    bool isWatching = false;
};

/** A command with its help text and the function that runs it. */
struct CtlCommand {
    std::vector<std::string> words; ///< Words that name the command; its arguments follow them.
    std::string arguments; ///< Names of the arguments in the help text.
    size_t argumentCount = 0;
    std::string help;
    std::function<ExitCode(const CtlOptions&)> run;
    bool isVariadic = false; ///< Whether more than `argumentCount` arguments are allowed.
};

/** Commands on the sheet and the holidays. */
std::vector<CtlCommand> sheetCommands();
/** Commands on the configuration. */
std::vector<CtlCommand> configCommands();
/** Commands on logs. */
std::vector<CtlCommand> logCommands();
/** Commands on the running processes. */
std::vector<CtlCommand> clusterCommands();

/** Today's date (UTC), or that of `--today`. */
Day todayOf(const CtlOptions& options);

/** Runs a call; prints its error if it fails and returns the exit code for that error. */
ExitCode reportErrors(const std::function<boost::leaf::result<ExitCode>()>& call);

/** Reads a whole file, or standard input for `-`; empty if it can't be read. */
std::optional<std::string> readFile(const std::string& path);

/** An entry of the cluster. */
struct KnownEntry {
    std::string name;
    std::string http; ///< HTTP address.
};
/** The entries of the cluster, from the entry that the options name or, if it does not answer, from the store. */
std::vector<KnownEntry> knownEntries(const CtlOptions& options);

} // namespace sequoia

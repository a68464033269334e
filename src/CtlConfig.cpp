/** @file CtlConfig.cpp Commands sequoiactl config. */
#include "Ctl.h"

#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sequoia/HttpService.h>
#include <thread>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr Milliseconds storeTimeout { 3000 };
    constexpr Milliseconds entryTimeout { 1000 };
    constexpr Milliseconds statusPause { 100 };

    leaf::error_id invalid(const std::string& detail)
    {
        return leaf::new_error(ConfigError { ConfigErrorKind::Invalid, { detail } });
    }

    leaf::result<Revision> parseRevision(const std::string& text)
    {
        uint64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || end != text.data() + text.size())
            return invalid(fmt::format("\"{}\": expected a revision number", text));
        return Revision(n);
    }

    ExitCode getCommand(const CtlOptions& options)
    {
        return reportErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, storeTimeout);
            BOOST_LEAF_AUTO(configuration, ConfigEditor(store, options.cluster).read());
            std::cout << "# revision " << raw(configuration.revision) << " by " << configuration.author << ": "
                      << configuration.note << '\n';
            for (const auto& name : documentNames())
                std::cout << "# " << name << '\n' << documentText(configuration, name) << '\n';
            return ExitCode::Ok;
        });
    }

    ExitCode setCommand(const CtlOptions& options)
    {
        return reportErrors([&]() -> leaf::result<ExitCode> {
            const auto& name = options.words[2];
            const auto text = readFile(options.words[3]);
            if (!text)
                return invalid(options.words[3] + ": cannot be read");
            const Store store(options.store, storeTimeout);
            const ConfigEditor editor(store, options.cluster);
            const auto change = [&](const Configuration& before) { return withDocument(before, name, *text); };
            if (options.isDryRun) {
                BOOST_LEAF_AUTO(before, editor.read());
                BOOST_LEAF_AUTO(after, change(before));
                for (const auto& line : differences(before, after))
                    std::cout << line << '\n';
                return ExitCode::Ok;
            }
            BOOST_LEAF_AUTO(committed, editor.edit(options.author, "set " + name, change));
            std::cout << "revision " << raw(committed.revision) << '\n';
            return ExitCode::Ok;
        });
    }

    ExitCode diffCommand(const CtlOptions& options)
    {
        return reportErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, storeTimeout);
            const ConfigEditor editor(store, options.cluster);
            BOOST_LEAF_AUTO(first, parseRevision(options.words[2]));
            BOOST_LEAF_AUTO(second, parseRevision(options.words[3]));
            BOOST_LEAF_AUTO(before, editor.readRevision(first));
            BOOST_LEAF_AUTO(after, editor.readRevision(second));
            for (const auto& line : differences(before, after))
                std::cout << line << '\n';
            return ExitCode::Ok;
        });
    }

    ExitCode historyCommand(const CtlOptions& options)
    {
        return reportErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, storeTimeout);
            BOOST_LEAF_AUTO(history, ConfigEditor(store, options.cluster).history());
            for (const auto& configuration : history)
                std::cout << fmt::format(
                    "{:>8}  {:<16} {}\n", raw(configuration.revision), configuration.author, configuration.note);
            return ExitCode::Ok;
        });
    }

    ExitCode rollbackCommand(const CtlOptions& options)
    {
        return reportErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, storeTimeout);
            const ConfigEditor editor(store, options.cluster);
            BOOST_LEAF_AUTO(revision, parseRevision(options.words[2]));
            BOOST_LEAF_AUTO(former, editor.readRevision(revision));
            const auto change = [&](const Configuration&) -> leaf::result<Configuration> { return former; };
            const auto note = fmt::format("rollback to {}", raw(revision));
            BOOST_LEAF_AUTO(committed, editor.edit(options.author, note, change));
            std::cout << "revision " << raw(committed.revision) << ": " << note << '\n';
            return ExitCode::Ok;
        });
    }

    /** Prints the revision in force on every entry; returns whether each entry has at least `minRevision`. */
    bool printRevisions(const CtlOptions& options, std::optional<Revision> minRevision)
    {
        bool allReached = true;
        for (const auto& entry : knownEntries(options)) {
            auto client = makeHttpClient(entry.http, entryTimeout);
            const auto reply = client.Get("/v1/status");
            const auto json = reply ? Json::parse(reply->body, nullptr, false) : Json();
            if (!json.is_object()) {
                std::cout << fmt::format("{:<16} {:<22} no answer\n", entry.name, entry.http);
                allReached = false;
                continue;
            }
            const auto revision = json.value("revision", uint64_t(0));
            std::cout << fmt::format("{:<16} {:<22} revision {}{}\n", entry.name, entry.http, revision,
                json.value("storeUp", false) ? "" : "  (store down)");
            allReached = allReached && (!minRevision || revision >= raw(*minRevision));
        }
        return allReached;
    }

    ExitCode statusCommand(const CtlOptions& options)
    {
        return reportErrors([&]() -> leaf::result<ExitCode> {
            const Store store(options.store, storeTimeout);
            BOOST_LEAF_AUTO(configuration, ConfigEditor(store, options.cluster).read());
            const auto deadline = Clock::now() + options.wait;
            for (;;) {
                std::cout << "store: revision " << raw(configuration.revision) << '\n';
                if (printRevisions(options, configuration.revision))
                    return ExitCode::Ok;
                if (Clock::now() >= deadline)
                    return options.wait.count() > 0 ? ExitCode::Failure : ExitCode::Ok;
                std::this_thread::sleep_for(statusPause);
            }
        });
    }

} // namespace

std::vector<CtlCommand> configCommands()
{
    return {
        { { "config", "get" }, "", 0, "print every document", getCommand },
        { { "config", "set" }, "teams|profile|plan FILE", 2, "replace a document; FILE may be - for standard input",
            setCommand },
        { { "config", "diff" }, "REVISION REVISION", 2, "show the differences between two revisions", diffCommand },
        { { "config", "history" }, "", 0, "list the revisions that the store keeps", historyCommand },
        { { "config", "rollback" }, "REVISION", 1, "create a new revision with the content of a former one",
            rollbackCommand },
        { { "config", "status" }, "", 0,
            "print the revision in force on every entry; --wait: until all have the newest", statusCommand },
    };
}

} // namespace sequoia

/** @file ConfigEditor.cpp Reads and edits the configuration in the store. */
#include <sequoia/Configuration.h>

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <thread>

namespace sequoia {

namespace leaf = boost::leaf;

namespace {

    constexpr uint64_t maxHistoryRevisions = 200; // Older ones are deleted.
    constexpr size_t rowsPerPart = 4000;
    constexpr int maxSwapAttempts = 4; // How often an edit is sent while replies are lost.
    constexpr Milliseconds swapPause { 300 };

    enum class SwapOutcome : uint8_t {
        Swapped,
        Changed, ///< The key was not at the expected revision.
        Unsent, ///< No connection; the call had no effect.
        NoReply ///< The call may have taken effect.
    };

    leaf::error_id configError(ConfigErrorKind kind, std::vector<std::string> details)
    {
        return leaf::new_error(ConfigError { kind, std::move(details) });
    }

    /** Runs a call to the store and converts its StoreError into a ConfigError. */
    template <typename T> leaf::result<T> mapStoreError(const std::function<leaf::result<T>()>& call)
    {
        return leaf::try_handle_some(call, [](StoreError error, const StoreReplyProblem* problem) -> leaf::result<T> {
            const auto kind
                = error == StoreError::NoReply ? ConfigErrorKind::OutcomeUnknown : ConfigErrorKind::StoreUnavailable;
            if (problem != nullptr)
                return configError(
                    kind, { "the reply of the store can't be parsed: " + problem->place + ": " + problem->message });
            return configError(kind,
                { error == StoreError::BadReply ? "the reply of the store can't be parsed"
                                                : "the store did not answer" });
        });
    }

} // namespace

StoreKeys::StoreKeys(const std::string& cluster)
    : prefix("/sequoia/" + cluster + "/")
    , current(prefix + "config/current")
    , entries(prefix + "entries/")
{
}

std::string StoreKeys::history(Revision revision) const
{
    return fmt::format("{}config/history/{:020}", prefix, raw(revision));
}
std::string StoreKeys::part(const std::string& digest) const { return prefix + "sheet/" + digest; }
std::string StoreKeys::entry(const std::string& address) const { return entries + address; }

ConfigEditor::ConfigEditor(const Store& store, const std::string& cluster)
    : m_store(store)
    , m_keys(cluster)
{
}

leaf::result<Configuration> ConfigEditor::read() const
{
    BOOST_LEAF_AUTO(stored, mapStoreError<std::optional<StoredValue>>([&] { return m_store.get(m_keys.current); }));
    if (!stored)
        return Configuration();
    return parseConfiguration(stored->value);
}

leaf::result<Configuration> ConfigEditor::edit(
    const std::string& author, const std::string& note, const Change& change) const
{
    BOOST_LEAF_AUTO(stored, mapStoreError<std::optional<StoredValue>>([&] { return m_store.get(m_keys.current); }));
    Configuration before;
    if (stored) {
        BOOST_LEAF_ASSIGN(before, parseConfiguration(stored->value));
    }
    BOOST_LEAF_AUTO(after, change(before));
    if (differences(before, after).empty())
        return before;
    after.revision = Revision(raw(before.revision) + 1);
    after.editId = fmt::format("{:016x}{:016x}", raw(drawIncarnation()), raw(drawIncarnation()));
    after.author = author;
    after.note = note;
    const auto text = toJson(after);
    std::vector<StoreWrite> writes { { m_keys.current, text, {} }, { m_keys.history(after.revision), text, {} } };
    if (raw(after.revision) > maxHistoryRevisions)
        writes.push_back({ m_keys.history(Revision(raw(after.revision) - maxHistoryRevisions)), std::nullopt, {} });
    const auto expected = stored ? stored->revision : StoreRevision();

    return swap(before, after, expected, writes);
}

leaf::result<Configuration> ConfigEditor::swap(const Configuration& before, const Configuration& after,
    StoreRevision expected, const std::vector<StoreWrite>& writes) const
{
    bool mayHaveTakenEffect = false;
    for (int i = 0; i < maxSwapAttempts; ++i) {
        if (i > 0)
            std::this_thread::sleep_for(swapPause);
        // The transaction can be sent again after a lost reply: it takes effect at most once, as any later copy finds
        // the key at another revision.
        const auto outcome = leaf::try_handle_all(
            [&]() -> leaf::result<SwapOutcome> {
                BOOST_LEAF_AUTO(isSwapped, m_store.compareAndSwap(m_keys.current, expected, writes));
                return isSwapped ? SwapOutcome::Swapped : SwapOutcome::Changed;
            },
            [](StoreError error) {
                return error == StoreError::Unreachable ? SwapOutcome::Unsent : SwapOutcome::NoReply;
            },
            [] { return SwapOutcome::NoReply; });
        if (outcome == SwapOutcome::Swapped)
            return after;
        if (outcome == SwapOutcome::Changed)
            return resolveConflict(before, after);
        mayHaveTakenEffect = mayHaveTakenEffect || outcome == SwapOutcome::NoReply;
    }
    if (!mayHaveTakenEffect)
        return configError(ConfigErrorKind::StoreUnavailable, { "the store is unreachable; nothing was changed" });
    return configError(ConfigErrorKind::OutcomeUnknown,
        { fmt::format("no reply from the store; revision {} with edit id {} may have taken effect", raw(after.revision),
            after.editId) });
}

leaf::result<Configuration> ConfigEditor::resolveConflict(const Configuration& before, const Configuration& after) const
{
    // The history key of a revision is written only by the transaction that creates the revision, so its edit id tells
    // which edit was committed.
    BOOST_LEAF_AUTO(
        stored, mapStoreError<std::optional<StoredValue>>([&] { return m_store.get(m_keys.history(after.revision)); }));
    if (!stored)
        return configError(ConfigErrorKind::Conflict, { "another edit was committed first" });
    BOOST_LEAF_AUTO(committed, parseConfiguration(stored->value));
    if (committed.editId == after.editId)
        return after;
    auto details = differences(before, committed);
    details.insert(details.begin(),
        fmt::format("revision {} by {} was committed first:", raw(committed.revision), committed.author));
    return configError(ConfigErrorKind::Conflict, std::move(details));
}

leaf::result<std::vector<Configuration>> ConfigEditor::history() const
{
    BOOST_LEAF_AUTO(stored,
        mapStoreError<std::vector<StoredValue>>([&] { return m_store.list(m_keys.prefix + "config/history/"); }));
    std::vector<Configuration> out;
    for (auto it = stored.rbegin(); it != stored.rend(); ++it) {
        BOOST_LEAF_AUTO(configuration, parseConfiguration(it->value));
        out.push_back(std::move(configuration));
    }
    return out;
}

leaf::result<Configuration> ConfigEditor::readRevision(Revision revision) const
{
    BOOST_LEAF_AUTO(
        stored, mapStoreError<std::optional<StoredValue>>([&] { return m_store.get(m_keys.history(revision)); }));
    if (!stored)
        return configError(
            ConfigErrorKind::UnknownRevision, { fmt::format("revision {} is not in the history", raw(revision)) });
    return parseConfiguration(stored->value);
}

leaf::result<std::vector<std::string>> ConfigEditor::writeParts(const std::vector<SheetRow>& rows) const
{
    std::vector<std::string> digests;
    for (size_t begin = 0; begin < rows.size(); begin += rowsPerPart) {
        const auto packed = packRows(rows, begin, std::min(begin + rowsPerPart, rows.size()));
        const auto digest = contentDigest(packed);
        const auto key = m_keys.part(digest);
        // Parts are immutable and named by their digest, so nothing is to be written if the key exists.
        BOOST_LEAF_CHECK(mapStoreError<bool>([&] {
            return m_store.compareAndSwap(key, StoreRevision(), { { key, packed, {} } });
        }));
        digests.push_back(digest);
    }
    return digests;
}

leaf::result<std::vector<SheetRow>> ConfigEditor::readParts(const std::vector<std::string>& digests) const
{
    std::vector<SheetRow> rows;
    for (const auto& digest : digests) {
        BOOST_LEAF_AUTO(
            stored, mapStoreError<std::optional<StoredValue>>([&] { return m_store.get(m_keys.part(digest)); }));
        const auto part = stored ? unpackRows(stored->value) : std::nullopt;
        if (!part)
            return configError(ConfigErrorKind::Invalid, { "part " + digest + " of the sheet is missing or damaged" });
        rows.insert(rows.end(), part->begin(), part->end());
    }
    return rows;
}

} // namespace sequoia

/** @file ProcessMetrics.h Counters that every process on the platform tells of its links, its log and its errors. */
#pragma once

#include <sequoia/FailureGuard.h>
#include <sequoia/LineWriter.h>
#include <sequoia/Link.h>
#include <sequoia/Metrics.h>

namespace sequoia {

/** Adds bytes on links, log lines and unexpected errors; `peers` names who is at the other ends, as in "agents". */
void addProcessCounters(PrometheusText& out, const LinkHub& links, const LineWriter& output,
    const FailureGuard& failures, std::string_view peers);

} // namespace sequoia

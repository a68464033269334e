/** @file ProcessMetrics.h Counters of every process on the platform: links, log output and unexpected errors. */
#pragma once

#include <sequoia/FailureGuard.h>
#include <sequoia/LineWriter.h>
#include <sequoia/Link.h>
#include <sequoia/Metrics.h>

namespace sequoia {

/** Adds the counters to `out`; `peers` describes the other ends of the links in the help texts, such as "agents". */
void addProcessCounters(PrometheusText& out, const LinkHub& links, const LineWriter& output,
    const FailureGuard& failures, std::string_view peers);

} // namespace sequoia

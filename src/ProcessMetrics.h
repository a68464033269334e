/** @file ProcessMetrics.h Counters that every process on the platform tells of its links and its log. */
#pragma once

#include <sequoia/LineWriter.h>
#include <sequoia/Link.h>
#include <sequoia/Metrics.h>

namespace sequoia {

/** Adds bytes on links and log lines; `peers` names who is at the other ends, as in "agents". */
void addProcessCounters(PrometheusText& out, const LinkHub& links, const LineWriter& output, std::string_view peers);

} // namespace sequoia

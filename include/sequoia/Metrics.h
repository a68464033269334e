/** @file Metrics.h Histograms of times on Boost.Histogram, and the Prometheus text form. */
#pragma once

#include <sequoia/Time.h>

#include <boost/histogram.hpp>
#include <mutex>
#include <string>

namespace sequoia {

/** Histogram of positive values over eight decades with bins of a few per cent. Thread-safe. */
class TimeHistogram {
public:
    TimeHistogram();
    /** Adds one value, in any unit. */
    void add(double value);
    /** The value that the share `q` of all values does not exceed; 0 if there is none. */
    double quantile(double q) const;
    uint64_t count() const;
    double sum() const;
    /** Prometheus text for a histogram in seconds. */
    std::string prometheus(const std::string& name, const std::string& help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    mutable std::mutex m_mutex;
    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    double m_sum = 0;
    uint64_t m_count = 0;
};

/** Prometheus text of one counter or gauge. */
std::string prometheusValue(const std::string& name, const std::string& type, const std::string& help, double value);

} // namespace sequoia

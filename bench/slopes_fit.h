/// \file
/// Least-squares line fit of measured points.

#ifndef PERIDOTFALL_BENCH_SLOPES_FIT_H
#define PERIDOTFALL_BENCH_SLOPES_FIT_H

#include "base/document.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace peridotfall::bench {

/// Measured cost y against size x, several runs at each size.
struct Series {
  std::string Unit; ///< Of the slope: y per x.
  std::vector<double> X;
  std::vector<double> Y;

  void add(double x, double y) {
    X.push_back(x);
    Y.push_back(y);
  }
};

struct LineFit {
  double Slope = 0;
  double Intercept = 0;
  double R2 = 0;
  double StandardError = 0; ///< Of the slope.
};

inline LineFit fit(const Series &it) {
  auto n = static_cast<double>(it.X.size());
  double meanX = 0;
  double meanY = 0;
  for (std::size_t k = 0; k < it.X.size(); ++k) {
    meanX += it.X[k] / n;
    meanY += it.Y[k] / n;
  }
  double sxx = 0;
  double sxy = 0;
  double syy = 0;
  for (std::size_t k = 0; k < it.X.size(); ++k) {
    sxx += (it.X[k] - meanX) * (it.X[k] - meanX);
    sxy += (it.X[k] - meanX) * (it.Y[k] - meanY);
    syy += (it.Y[k] - meanY) * (it.Y[k] - meanY);
  }
  LineFit out;
  out.Slope = sxy / sxx;
  out.Intercept = meanY - out.Slope * meanX;
  double residual = std::max(0.0, syy - out.Slope * sxy);
  out.R2 = syy == 0 ? 1 : 1 - residual / syy;
  out.StandardError = n > 2 ? std::sqrt(residual / (n - 2) / sxx) : 0;
  return out;
}

inline Json toJson(const Series &it) {
  auto line = fit(it);
  return {{"unit", it.Unit},
          {"x", it.X},
          {"y", it.Y},
          {"slope", line.Slope},
          {"intercept", line.Intercept},
          {"r2", line.R2},
          {"slopeStandardError", line.StandardError}};
}

/// \return the value below which the given fraction of the values lies.
inline double percentile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  auto n = static_cast<std::size_t>(fraction *
                                    static_cast<double>(values.size() - 1));
  return values[n];
}

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_FIT_H

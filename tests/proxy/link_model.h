/// \file
/// Transfers over links of limited bandwidth, in virtual time.

#ifndef PERIDOTFALL_TESTS_PROXY_LINK_MODEL_H
#define PERIDOTFALL_TESTS_PROXY_LINK_MODEL_H

#include "http/message.h"
#include "peridotfall/clock.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::testing {

/// Transfers between machines. Those that use a machine's link, or the link
/// between two regions, in one direction share its bandwidth evenly.
class LinkModel {
public:
  struct Flow {
    std::string From;
    std::string To;
    double Size = 0;
    double Left = 0;
    TimePoint Began;
    std::function<void()> Done;

    http::Transfer received(TimePoint now) const {
      return {static_cast<std::size_t>(Size - Left), now - Began};
    }
  };
  using FlowPtr = std::shared_ptr<Flow>;

  LinkModel(double bytesPerSecond, const Clock &clock)
      : Rate(bytesPerSecond), Time(clock) {}

  /// Breaks the cycle where a flow's callback holds the flow.
  ~LinkModel() {
    for (const auto &it : Flows)
      it->Done = nullptr;
  }
  LinkModel(const LinkModel &) = delete;
  LinkModel &operator=(const LinkModel &) = delete;

  /// Sets the rate of one machine's link in bytes per second.
  void setRate(const std::string &machine, double bytesPerSecond) {
    Rates[machine] = bytesPerSecond;
  }
  /// Places machines in another region, reached over a link of that rate.
  void setRegion(std::set<std::string> machines, double bytesPerSecond) {
    OtherRegion = std::move(machines);
    RegionRate = bytesPerSecond;
  }
  FlowPtr send(std::string from, std::string to, std::size_t bytes,
               std::function<void()> done) {
    auto size = static_cast<double>(bytes);
    Sent[from] += size;
    if (crossesRegions(from, to))
      SentBetweenRegions += size;
    Flows.push_back(
        std::make_shared<Flow>(Flow{std::move(from), std::move(to), size, size,
                                    Time.now(), std::move(done)}));
    return Flows.back();
  }
  /// Drops the rest of the transfer.
  void cancel(const FlowPtr &it) {
    it->Done = nullptr;
    std::erase(Flows, it);
  }
  /// \return the bytes of all flows begun by \p machine.
  double sent(const std::string &machine) const {
    auto it = Sent.find(machine);
    return it == Sent.end() ? 0 : it->second;
  }
  /// \return the bytes of all flows begun between the regions.
  double sentBetweenRegions() const { return SentBetweenRegions; }
  void pass(Duration span) {
    std::map<std::string, int> out;
    std::map<std::string, int> in;
    std::map<bool, int> crossing; // By whether it enters the other region.
    for (const auto &it : Flows) {
      ++out[it->From];
      ++in[it->To];
      if (crossesRegions(it->From, it->To))
        ++crossing[OtherRegion.contains(it->To)];
    }
    for (const auto &it : Flows) {
      double rate = std::min(rateOf(it->From) / out[it->From],
                             rateOf(it->To) / in[it->To]);
      if (crossesRegions(it->From, it->To))
        rate =
            std::min(rate, RegionRate / crossing[OtherRegion.contains(it->To)]);
      it->Left -= rate * std::chrono::duration<double>(span).count();
    }
    finish();
  }

private:
  bool crossesRegions(const std::string &from, const std::string &to) const {
    return OtherRegion.contains(from) != OtherRegion.contains(to);
  }
  double rateOf(const std::string &machine) const {
    auto it = Rates.find(machine);
    return it == Rates.end() ? Rate : it->second;
  }
  void finish() {
    auto whole =
        std::stable_partition(Flows.begin(), Flows.end(),
                              [](const FlowPtr &it) { return it->Left > 0; });
    std::vector<FlowPtr> done(whole, Flows.end());
    Flows.erase(whole, Flows.end());
    for (const auto &it : done) {
      it->Left = 0;
      std::exchange(it->Done, nullptr)();
    }
  }

  double Rate;
  const Clock &Time;
  std::map<std::string, double> Rates;
  std::map<std::string, double> Sent;
  std::set<std::string> OtherRegion;
  double RegionRate = 0;
  double SentBetweenRegions = 0;
  std::vector<FlowPtr> Flows;
};

} // namespace peridotfall::testing

#endif // PERIDOTFALL_TESTS_PROXY_LINK_MODEL_H

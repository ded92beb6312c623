#include "core/batch/host_profiles.h"

#include "support/expect.h"

#include <cmath>
#include <limits>
#include <random>

namespace bergamotwick::test {

namespace {

using batch::CalendarTime;
using batch::HostProfiles;
using batch::milliseconds;
using batch::PaceSample;
using batch::RunId;
using batch::StoredHostSpeed;

constexpr double taskDeviation = 0.3;
constexpr double tailShare = 0.03;
constexpr double tailFactor = 7;
constexpr double slowness = 2.4;
constexpr double slowRatio = 1.5;
constexpr CalendarTime today{std::chrono::hours(1'000'000)};

/// Work on a fleet in which some hosts are slow, with tasks of uneven length.
class Workload
{
public:
    Workload(std::size_t hosts, std::uint64_t seed)
        : slowness_(hosts, 1)
        , random_(seed)
    {
    }

    [[nodiscard]] static std::string nameOf(std::size_t host)
    {
        return "host-" + std::to_string(host);
    }

    /// Runs a step with a task on each of \p hosts.
    void runStep(const std::vector<std::size_t> &hosts)
    {
        const double stepEffect = std::normal_distribution<double>(0, 1)(random_);
        ++jobs_;
        for (std::uint32_t task = 0; task < hosts.size(); ++task) {
            double logPace = stepEffect + std::log(slowness_[hosts[task]]) + std::normal_distribution<double>(0, taskDeviation)(random_);
            if (std::bernoulli_distribution(tailShare)(random_)) {
                logPace += std::log(tailFactor);
            }
            now_ += milliseconds(1);
            profiles_.record({{JobId(std::to_string(jobs_)), 0, 0, task}, 1}, nameOf(hosts[task]), {logPace, taskDeviation * taskDeviation}, now_, calendar());
        }
    }

    /// Runs \p steps steps, one in each half second, with \p width tasks on random hosts from \p first to \p end.
    void runSteps(int steps, std::size_t width, std::size_t first, std::size_t end)
    {
        for (int step = 0; step < steps; ++step) {
            std::vector<std::size_t> hosts;
            for (std::size_t task = 0; task < width; ++task) {
                hosts.push_back(std::uniform_int_distribution<std::size_t>(first, end - 1)(random_));
            }
            runStep(hosts);
            now_ += milliseconds(500);
            profiles_.refresh(now_);
        }
    }

    [[nodiscard]] CalendarTime calendar() const
    {
        return today + std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    }

    /// Returns whether \p host is known to take about \p expected times as long as the median one.
    [[nodiscard]] bool isAbout(std::size_t host, double expected) const
    {
        const auto known = profiles_.slowness(nameOf(host));
        return known && std::abs(std::log(*known / expected)) < 0.35;
    }

    [[nodiscard]] std::size_t countSlow(std::size_t first, std::size_t end) const
    {
        std::size_t slow = 0;
        for (std::size_t host = first; host < end; ++host) {
            slow += profiles_.isSlowerThan(nameOf(host), slowRatio) ? 1 : 0;
        }
        return slow;
    }

    HostProfiles profiles_;
    std::vector<double> slowness_; ///< by host
    Instant now_{std::chrono::hours(1)};

private:
    std::mt19937_64 random_;
    int jobs_ = 0;
};

}

/// What is learned of hosts' speeds from uneven tasks.
class HostProfilesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostProfilesTest);
    CPPUNIT_TEST(slowHostsAreFoundFromGangsOfUnevenTasks);
    CPPUNIT_TEST(slowHostsAreFoundWhenBulkWorkRunsMostlyThere);
    CPPUNIT_TEST(fleetOfLikeHostsHasNoSlowOnes);
    CPPUNIT_TEST(hostThatSlowsDownAndRecoversIsFollowed);
    CPPUNIT_TEST(stepOnOneHostTeachesNothing);
    CPPUNIT_TEST(knowledgeOutlivesItsSamples);
    CPPUNIT_TEST(storedSpeedsAreTakenOver);
    CPPUNIT_TEST(wrongStoredSpeedIsCorrectedByAFewRuns);
    CPPUNIT_TEST(speedsOfADayAgoAreDropped);
    CPPUNIT_TEST(garbageInStoredSpeedsIsBounded);
    CPPUNIT_TEST(profilesOfManyHostsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void slowHostsAreFoundFromGangsOfUnevenTasks()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Workload work = unevenFleet(seed);
            work.runSteps(60, 4, 0, hosts);
            expectKnown(work, seed);
        }
    }

    void slowHostsAreFoundWhenBulkWorkRunsMostlyThere()
    {
        constexpr std::size_t seeds = 20;
        double error = 0;
        std::size_t slow = 0;
        std::size_t falselySlow = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Workload work = unevenFleet(seed);
            for (int round = 0; round < 20; ++round) {
                work.runSteps(2, 16, 0, slowHosts + 2); // most of its tasks are on slow hosts
                work.runSteps(1, 6, 0, hosts);
            }
            for (std::size_t host = 0; host < slowHosts; ++host) {
                error += std::log(work.profiles_.slowness(Workload::nameOf(host)).value_or(1) / slowness) / (seeds * slowHosts);
            }
            slow += work.countSlow(0, slowHosts);
            falselySlow += work.countSlow(slowHosts, hosts);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(error), std::abs(error) < 0.15);
        CPPUNIT_ASSERT_EQUAL(std::size_t{seeds * slowHosts}, slow);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(falselySlow), falselySlow <= seeds * (hosts - slowHosts) / 50);
    }

    void fleetOfLikeHostsHasNoSlowOnes()
    {
        constexpr std::size_t seeds = 200;
        std::size_t early = 0; // after three or four runs on each host
        std::size_t late = 0; // after ten
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Workload work(hosts, seed);
            work.runSteps(10, 4, 0, hosts);
            early += work.countSlow(0, hosts);
            work.runSteps(20, 4, 0, hosts);
            late += work.countSlow(0, hosts);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(early), early <= seeds * hosts * 4 / 100);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late), late <= seeds * hosts / 100);
    }

    void hostThatSlowsDownAndRecoversIsFollowed()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Workload work(hosts, seed);
            work.runSteps(100, 4, 0, hosts);
            work.slowness_[3] = slowness;
            work.runSteps(100, 4, 0, hosts);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), work.profiles_.isSlowerThan(Workload::nameOf(3), slowRatio));
            work.slowness_[3] = 1;
            work.runSteps(100, 4, 0, hosts);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), !work.profiles_.isSlowerThan(Workload::nameOf(3), slowRatio));
        }
    }

    void stepOnOneHostTeachesNothing()
    {
        Workload work(2, 1);
        work.slowness_[1] = slowness;
        for (int step = 0; step < 100; ++step) {
            work.runStep({1, 1, 1, 1});
            work.now_ += milliseconds(500);
            work.profiles_.refresh(work.now_);
        }
        CPPUNIT_ASSERT(!work.profiles_.isSlowerThan(Workload::nameOf(1), 1.05));
        CPPUNIT_ASSERT(!work.profiles_.slowness(Workload::nameOf(1)));
    }

    void knowledgeOutlivesItsSamples()
    {
        Workload work = unevenFleet(1);
        work.runSteps(60, 4, 0, hosts);
        expectKnown(work, 1);
        for (int minute = 0; minute < 5; ++minute) {
            work.now_ += std::chrono::minutes(1);
            work.runSteps(4, 4, slowHosts, hosts); // the slow hosts are left free
        }
        CPPUNIT_ASSERT_EQUAL(slowHosts, work.countSlow(0, slowHosts));
        HostProfiles next;
        next.load(work.profiles_.toStore(), work.calendar());
        CPPUNIT_ASSERT(next.isSlowerThan(Workload::nameOf(0), slowRatio));
    }

    void storedSpeedsAreTakenOver()
    {
        Workload work = unevenFleet(1);
        work.runSteps(60, 4, 0, hosts);
        HostProfiles next;
        next.load(work.profiles_.toStore(), work.calendar());
        next.refresh(work.now_);
        for (std::size_t host = 0; host < hosts; ++host) {
            const std::string name = Workload::nameOf(host);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, host < slowHosts, next.isSlowerThan(name, slowRatio));
        }
    }

    void wrongStoredSpeedIsCorrectedByAFewRuns()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Workload work(hosts, seed);
            work.runSteps(100, 4, 0, hosts);
            std::vector<StoredHostSpeed> stored = work.profiles_.toStore();
            stored[5].centiLogSlowness_ = 88; // 2.4 times
            stored[5].precision_ = std::numeric_limits<std::uint32_t>::max();
            work.profiles_ = HostProfiles();
            work.profiles_.load(stored, work.calendar());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, work.countSlow(0, hosts));
            work.runSteps(50, 4, 0, hosts); // about 17 runs on each host
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(seed), std::size_t{0}, work.countSlow(0, hosts));
        }
    }

    void speedsOfADayAgoAreDropped()
    {
        HostProfiles profiles;
        profiles.load({{"old", 88, 40, today - std::chrono::hours(24)}, {"new", 88, 40, today - std::chrono::hours(23)}}, today);
        CPPUNIT_ASSERT(!profiles.slowness("old"));
        CPPUNIT_ASSERT(profiles.slowness("new"));
    }

    void garbageInStoredSpeedsIsBounded()
    {
        constexpr auto least = std::numeric_limits<std::int32_t>::min();
        constexpr auto most = std::numeric_limits<std::int32_t>::max();
        constexpr auto precise = std::numeric_limits<std::uint32_t>::max();
        Workload work = unevenFleet(1);
        work.profiles_.load({{"host-0", most, precise, CalendarTime::max()},
                             {"host-1", least, 0, today},
                             {"", most, precise, CalendarTime::min()},
                             {"host-20", least, precise, today},
                             {"host-20", most, precise, today}},
                            today);
        work.runSteps(120, 4, 0, hosts);
        expectKnown(work, 1);
        for (const StoredHostSpeed &speed : work.profiles_.toStore()) {
            CPPUNIT_ASSERT(std::abs(speed.centiLogSlowness_) <= 1'000);
        }
    }

    void profilesOfManyHostsAreBounded()
    {
        std::vector<StoredHostSpeed> stored;
        for (int host = 0; host < 5'000; ++host) {
            stored.push_back({"host-" + std::to_string(host), 10, 40, today - std::chrono::seconds(host)});
        }
        HostProfiles profiles;
        profiles.load(stored, today);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4'096}, profiles.toStore().size());
        CPPUNIT_ASSERT(profiles.slowness("host-0"));
        CPPUNIT_ASSERT(!profiles.slowness("host-4999"));
        for (std::uint32_t host = 0; host < 5'000; ++host) { // names that change with each restart of a machine
            profiles.record({{JobId("job"), 0, 0, host}, 1}, "renamed-" + std::to_string(host), {0, 1}, Instant(), today + std::chrono::seconds(1 + host));
        }
        profiles.refresh(Instant(std::chrono::seconds(1)));
        CPPUNIT_ASSERT(profiles.toStore().size() <= 4'096 + 512);
    }

private:
    static constexpr std::size_t hosts = 12;
    static constexpr std::size_t slowHosts = 4;

    static Workload unevenFleet(std::uint64_t seed)
    {
        Workload work(hosts, seed);
        std::fill_n(work.slowness_.begin(), slowHosts, slowness);
        return work;
    }

    static void expectKnown(const Workload &work, std::uint64_t seed)
    {
        const std::string message = "seed " + std::to_string(seed);
        for (std::size_t host = 0; host < hosts; ++host) {
            CPPUNIT_ASSERT_MESSAGE(message + " host " + std::to_string(host), work.isAbout(host, host < slowHosts ? slowness : 1));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, slowHosts, work.countSlow(0, slowHosts));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0}, work.countSlow(slowHosts, hosts));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostProfilesTest);

}

// Tests of the scheduling policy: placement, retries, quarantine, gradual refill of a returned data centre, report traffic.

#include "core/placement.h"
#include "core/scheduling/contacts.h"
#include "core/scheduling/queue.h"
#include "support/expect.h"
#include "support/world.h"
#include "wire/codec.h"

namespace bergamotwick::test {

namespace {

/// Returns a fleet of live workers with eight accelerators each, three per rack.
Fleet makeFleet(int workers, int dataCentres)
{
    Fleet fleet;
    for (int i = 0; i < workers; ++i) {
        const std::string dataCentre = Simulation::dataCentreName(i % dataCentres);
        const RackId rack(dataCentre + "-" + std::to_string(i / dataCentres / 3));
        fleet.setAlive(fleet.upsert(WorkerId("w" + std::to_string(i)), DataCentreId(dataCentre), rack, {60, 130'000, 8}), true);
    }
    return fleet;
}

/// Returns the bytes on the wire of an idle worker's report and of its directive.
std::int64_t idleReportBytes()
{
    AgentReport report;
    report.name_ = "worker-1234";
    report.region_ = RegionId("pannonia");
    report.dataCentre_ = DataCentreId("szeged");
    report.rack_ = RackId("szeged-rack-17");
    report.membersIncluded_ = false;
    Directive directive;
    directive.entry_ = EntryId("entry-12");
    directive.agent_ = report.name_;
    directive.digestConfirmed_ = true;
    constexpr std::int64_t headers = 28; // UDP and IP
    return static_cast<std::int64_t>(encodeMessage(report).size() + encodeMessage(directive).size()) + 2 * headers;
}

std::int32_t taskCount(const GangPlacement &placement)
{
    std::int32_t tasks = 0;
    for (const MemberPlacement &member : placement) {
        tasks += member.tasks_;
    }
    return tasks;
}

}

class SchedulingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulingTest);
    CPPUNIT_TEST(smallJobsDoNotFragmentFreeCapacity);
    CPPUNIT_TEST(smallJobsAvoidTheLargestDataCentre);
    CPPUNIT_TEST(adjacencyIsRespected);
    CPPUNIT_TEST(firmJobsUseNoReservedCapacity);
    CPPUNIT_TEST(unavailableWorkersGetNoPlacement);
    CPPUNIT_TEST(preemptionStopsFewestAccelerators);
    CPPUNIT_TEST(jobFailingOnSeveralWorkersIsFailed);
    CPPUNIT_TEST(workerFailingDifferentJobsIsQuarantined);
    CPPUNIT_TEST(returnedDataCentreIsFilledGradually);
    CPPUNIT_TEST(reportsFitTheTrafficBudget);
    CPPUNIT_TEST(jobsThatCanNeverFitAreDetected);
    CPPUNIT_TEST_SUITE_END();

    void smallJobsDoNotFragmentFreeCapacity()
    {
        Fleet fleet = makeFleet(4, 1);
        for (int i = 0; i < 8; ++i) {
            const auto placement = findPlacement(fleet, {1, {1, 100, 1}, Adjacency::Worker, CapacityView::Free, nullptr}, TopologyAwareFit{});
            CPPUNIT_ASSERT(placement);
            fleet.allocate(placement->front().worker_, Tenure::Borrowed, {1, 100, 1});
        }
        CPPUNIT_ASSERT(findPlacement(fleet, {3, {1, 100, 8}, Adjacency::DataCentre, CapacityView::Free, nullptr}, TopologyAwareFit{}));
    }

    void smallJobsAvoidTheLargestDataCentre()
    {
        Fleet fleet;
        for (int i = 0; i < 5; ++i) {
            const std::string dataCentre = i < 3 ? "large" : "small";
            fleet.setAlive(fleet.upsert(WorkerId(std::to_string(i)), DataCentreId(dataCentre), RackId(dataCentre), {60, 100'000, 8}), true);
        }
        for (int i = 0; i < 2; ++i) {
            const auto placement = findPlacement(fleet, {1, {1, 100, 8}, Adjacency::Worker, CapacityView::Free, nullptr}, TopologyAwareFit{});
            CPPUNIT_ASSERT(placement);
            fleet.allocate(placement->front().worker_, Tenure::Borrowed, {1, 100, 8});
        }
        CPPUNIT_ASSERT(findPlacement(fleet, {3, {1, 100, 8}, Adjacency::DataCentre, CapacityView::Free, nullptr}, TopologyAwareFit{}));
    }

    void adjacencyIsRespected()
    {
        const Fleet fleet = makeFleet(12, 2);
        const auto rack = findPlacement(fleet, {3, {1, 100, 8}, Adjacency::Rack, CapacityView::Free, nullptr}, TopologyAwareFit{});
        CPPUNIT_ASSERT(rack && taskCount(*rack) == 3);
        for (const MemberPlacement &member : *rack) {
            CPPUNIT_ASSERT_EQUAL(fleet.worker(rack->front().worker_).rack_, fleet.worker(member.worker_).rack_);
        }
        CPPUNIT_ASSERT(!findPlacement(fleet, {4, {1, 100, 8}, Adjacency::Rack, CapacityView::Free, nullptr}, TopologyAwareFit{}));
        CPPUNIT_ASSERT(!findPlacement(fleet, {1, {1, 100, 9}, Adjacency::DataCentre, CapacityView::Free, nullptr}, TopologyAwareFit{}));
        const auto wide = findPlacement(fleet, {6, {1, 100, 8}, Adjacency::DataCentre, CapacityView::Free, nullptr}, TopologyAwareFit{});
        CPPUNIT_ASSERT(wide && taskCount(*wide) == 6);
        CPPUNIT_ASSERT(!findPlacement(fleet, {7, {1, 100, 8}, Adjacency::DataCentre, CapacityView::Free, nullptr}, TopologyAwareFit{}));
    }

    void firmJobsUseNoReservedCapacity()
    {
        Fleet fleet = makeFleet(2, 1);
        fleet.reserve(0, {8, 8'000, 8});
        const auto firm = findPlacement(fleet, {1, {1, 100, 4}, Adjacency::Worker, CapacityView::FreeUnreserved, nullptr}, TopologyAwareFit{});
        CPPUNIT_ASSERT(firm && firm->front().worker_ == 1);
        fleet.allocate(1, Tenure::Firm, {1, 100, 8});
        CPPUNIT_ASSERT(!findPlacement(fleet, {1, {1, 100, 4}, Adjacency::Worker, CapacityView::FreeUnreserved, nullptr}, TopologyAwareFit{}));
        CPPUNIT_ASSERT(findPlacement(fleet, {1, {1, 100, 4}, Adjacency::Worker, CapacityView::Free, nullptr}, TopologyAwareFit{}));
    }

    void unavailableWorkersGetNoPlacement()
    {
        Fleet fleet = makeFleet(3, 3);
        fleet.setInService(DataCentreId("dc0"), false);
        fleet.setQuarantined(1, true);
        fleet.setAlive(2, false);
        for (const PlacementPolicy &policy : {PlacementPolicy(FirstFit{}), PlacementPolicy(BestFit{}), PlacementPolicy(TopologyAwareFit{})}) {
            CPPUNIT_ASSERT(!findPlacement(fleet, {1, {1, 100, 1}, Adjacency::Worker, CapacityView::Free, nullptr}, policy));
        }
        fleet.setInService(DataCentreId("dc0"), true);
        CPPUNIT_ASSERT(findPlacement(fleet, {1, {1, 100, 1}, Adjacency::Worker, CapacityView::Free, nullptr}, TopologyAwareFit{}));
        CPPUNIT_ASSERT_EQUAL(8, fleet.totalAccelerators(CapacityView::Free));
    }

    void preemptionStopsFewestAccelerators()
    {
        Fleet fleet = makeFleet(3, 1);
        fleet.allocate(0, Tenure::Borrowed, {1, 100, 6});
        fleet.allocate(1, Tenure::Borrowed, {1, 100, 1});
        fleet.allocate(2, Tenure::Firm, {1, 100, 1});
        const auto placement = findPreemptingPlacement(fleet, {1, {1, 100, 8}, Adjacency::Worker, CapacityView::FreeAfterPreemption, nullptr});
        CPPUNIT_ASSERT(placement && placement->front().worker_ == 1);
    }

    void jobFailingOnSeveralWorkersIsFailed()
    {
        for (const char *workspace : {"other", "jury"}) {
            SimulationOptions options;
            Simulation world(options);
            for (int i = 0; i < options.workers_; ++i) {
                world.failTasksOn(i, true);
            }
            world.run(3s);
            JobSpec spec = Simulation::jobSpec("poison", 1, 8, "1");
            spec.workspace_ = WorkspaceId(workspace);
            world.submit(0, spec);
            world.run(60s);
            const auto record = world.job(JobId("poison"));
            CPPUNIT_ASSERT_EQUAL(std::string("failed"), std::string(toString(record->state_)));
            CPPUNIT_ASSERT(record->generation_ <= 6);
        }
    }

    void workerFailingDifferentJobsIsQuarantined()
    {
        SimulationOptions options;
        Simulation world(options);
        world.failTasksOn(0, true);
        world.run(3s);
        for (int i = 0; i < 20; ++i) {
            world.submit(i % 3, Simulation::jobSpec("job-" + std::to_string(i), 1, 4, "2"));
            world.run(1s);
        }
        world.run(40s);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("done"), std::string(toString(world.job(JobId("job-" + std::to_string(i)))->state_)));
        }
        const auto &fleet = world.entry(world.owner()).scheduler().state().fleet_;
        WorkerIndex failingWorker = 0;
        CPPUNIT_ASSERT(fleet.find(WorkerId("worker-0"), failingWorker));
        CPPUNIT_ASSERT(fleet.worker(failingWorker).quarantined_);
    }

    void returnedDataCentreIsFilledGradually()
    {
        SimulationOptions options;
        options.lossRate_ = 0;
        Simulation world(options);
        world.run(3s);
        world.setInService(0, "dc0", false);
        world.run(3s);
        for (int i = 0; i < 40; ++i) {
            world.submit(i % 3, Simulation::jobSpec("job-" + std::to_string(i), 1, 2, "600"));
        }
        world.run(5s);
        world.setInService(0, "dc0", true);
        world.run(1s);
        int placed = 0;
        for (int i = 0; i < 40; ++i) {
            placed += world.job(JobId("job-" + std::to_string(i)))->dataCentre_ == DataCentreId("dc0") ? 1 : 0;
        }
        CPPUNIT_ASSERT(placed >= 1 && placed <= 5);
        world.run(10s);
        placed = 0;
        for (int i = 0; i < 40; ++i) {
            placed += world.job(JobId("job-" + std::to_string(i)))->dataCentre_ == DataCentreId("dc0") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(8, placed);
    }

    void reportsFitTheTrafficBudget()
    {
        for (const int workers : {10, 186, 650, 2'600}) {
            SchedulerState state;
            state.fleet_ = makeFleet(workers, 4);
            const double seconds = std::chrono::duration<double>(reportPeriod(state)).count();
            CPPUNIT_ASSERT(workers / seconds * static_cast<double>(state.limits_.bytesPerReport_) <= 2'000 + 300);
            CPPUNIT_ASSERT(idleReportBytes() <= state.limits_.bytesPerReport_);
            CPPUNIT_ASSERT(leaseDuration(state) > reportPeriod(state) * state.limits_.maxMissedReports_);
        }
    }

    void jobsThatCanNeverFitAreDetected()
    {
        const Config config = value(Config::fromTree(Simulation::settings(4, 8)));
        CPPUNIT_ASSERT(canEverFit(config, Simulation::jobSpec("a", 2, 8)));
        CPPUNIT_ASSERT(!canEverFit(config, Simulation::jobSpec("a", 3, 8)));
        CPPUNIT_ASSERT(!canEverFit(config, Simulation::jobSpec("a", 1, 9)));
        JobSpec spec = Simulation::jobSpec("a", 2, 8);
        spec.within_ = Adjacency::Worker;
        CPPUNIT_ASSERT(!canEverFit(config, spec));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingTest);

}

package org.arbutusfield.lab.sketch;

import com.datadoghq.sketch.ddsketch.DDSketch;
import com.datadoghq.sketch.ddsketch.DDSketches;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Compares merged relative-error sketches with merged HdrHistograms: error of the quantiles over all hosts, bytes per
 * host and time to merge. Prints a Markdown table.
 *
 * <p>Each host has its own log-normal latencies; a tenth of the hosts are four times as slow.
 */
public final class SketchExperiment {
    private static final double RELATIVE_ACCURACY = 0.01;
    private static final int MAX_BUCKETS = 1024;
    private static final int HDR_DIGITS = 2;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SAMPLES_PER_HOST = 5_000;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99, 0.999};

    private SketchExperiment() {}

    /** Runs the experiment. The optional argument is the seed; the default is 1. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        System.out.println("| hosts | way | worst error of p50, p95, p99, p99.9 | bytes a host | merge µs a host |");
        System.out.println("|---|---|---|---|---|");
        for (int hosts : new int[] {5, 20, 100, 400}) {
            compare(hosts, seed);
        }
    }

    private static void compare(int hosts, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<DDSketch> sketches = new ArrayList<>();
        List<Histogram> histograms = new ArrayList<>();
        double[] samples = new double[hosts * SAMPLES_PER_HOST];
        for (int host = 0; host < hosts; host++) {
            DDSketch sketch = DDSketches.logarithmicCollapsingLowestDense(RELATIVE_ACCURACY, MAX_BUCKETS);
            Histogram histogram = new Histogram(MAX_LATENCY_MICROS, HDR_DIGITS);
            double scale = host % 10 == 9 ? 40_000 : 10_000;
            for (int i = 0; i < SAMPLES_PER_HOST; i++) {
                double micros = Math.min(MAX_LATENCY_MICROS, Math.max(1, scale * Math.exp(0.6 * gaussian(random))));
                samples[host * SAMPLES_PER_HOST + i] = micros;
                sketch.accept(micros);
                histogram.recordValue(Math.round(micros));
            }
            sketches.add(sketch);
            histograms.add(histogram);
        }
        Arrays.sort(samples);
        reportSketches(hosts, sketches, samples);
        reportHistograms(hosts, histograms, samples);
    }

    private static void reportSketches(int hosts, List<DDSketch> sketches, double[] samples) {
        int bytes = sketches.get(0).serializedSize();
        DDSketch merged = DDSketches.logarithmicCollapsingLowestDense(RELATIVE_ACCURACY, MAX_BUCKETS);
        long start = System.nanoTime();
        sketches.forEach(merged::mergeWith);
        double micros = (System.nanoTime() - start) / 1e3 / hosts;
        double worst = 0;
        for (double q : QUANTILES) {
            worst = Math.max(worst, error(merged.getValueAtQuantile(q), samples, q));
        }
        print(hosts, "sketch, relative error 1 %", worst, bytes, micros);
    }

    private static void reportHistograms(int hosts, List<Histogram> histograms, double[] samples) {
        Histogram first = histograms.get(0);
        ByteBuffer buffer = ByteBuffer.allocate(first.getNeededByteBufferCapacity());
        int bytes = first.encodeIntoByteBuffer(buffer);
        Histogram merged = new Histogram(MAX_LATENCY_MICROS, HDR_DIGITS);
        long start = System.nanoTime();
        histograms.forEach(merged::add);
        double micros = (System.nanoTime() - start) / 1e3 / hosts;
        double worst = 0;
        for (double q : QUANTILES) {
            worst = Math.max(worst, error((double) merged.getValueAtPercentile(q * 100), samples, q));
        }
        print(hosts, "HdrHistogram, 2 digits", worst, bytes, micros);
    }

    private static void print(int hosts, String method, double worst, int bytes, double micros) {
        System.out.printf(
                Locale.ROOT, "| %d | %s | %.2f %% | %d | %.1f |%n", hosts, method, worst * 100, bytes, micros);
    }

    private static double error(double estimate, double[] sorted, double quantile) {
        double exact = sorted[(int) Math.floor(quantile * (sorted.length - 1))];
        return Math.abs(estimate - exact) / exact;
    }

    private static double gaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
